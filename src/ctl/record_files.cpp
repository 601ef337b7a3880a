// Reads records from files and preserves their bytes, since the stored record must match the file.
#include "anvilscale/ctl.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace anvilscale {

namespace {
namespace fs = std::filesystem;

/// Offset after the closing brace of the object that starts at `from`; npos if it is not closed.
std::size_t findObjectEnd(std::string_view text, std::size_t from)
{
    int depth = 0;
    bool isInString = false;
    for (std::size_t position = from; position < text.size(); ++position) {
        const char c = text[position];
        if (isInString) {
            if (c == '\\') {
                ++position;
            } else if (c == '"') {
                isInString = false;
            }
            continue;
        }
        if (c == '"') {
            isInString = true;
        } else if (c == '{') {
            ++depth;
        } else if (c == '}' && --depth == 0) {
            return position + 1;
        }
    }
    return std::string_view::npos;
}

std::string location(const std::string &source, std::string_view text, std::size_t position)
{
    const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(position), '\n');
    return source + ":" + std::to_string(line);
}

bool isSeparator(char c)
{
    return c == ' ' || c == '\t' || c == '\r' || c == '\n' || c == ',' || c == '[' || c == ']';
}

tl::expected<void, RecordFileError> listFiles(const std::string &path, std::vector<std::string> &files)
{
    std::error_code error;
    if (!fs::is_directory(path, error)) {
        files.push_back(path);
        return {};
    }
    std::vector<std::string> jsonFiles;
    for (auto entry = fs::directory_iterator(path, error); !error && entry != fs::directory_iterator();
         entry.increment(error)) {
        if (entry->path().extension() == ".json") {
            jsonFiles.push_back(entry->path().string());
        }
    }
    if (error) {
        return tl::unexpected(RecordFileError{path, error.message()});
    }
    std::sort(jsonFiles.begin(), jsonFiles.end());
    files.insert(files.end(), jsonFiles.begin(), jsonFiles.end());
    return {};
}
} // namespace

tl::expected<std::vector<RecordText>, RecordFileError> splitRecords(const std::string &source, std::string_view text)
{
    std::vector<RecordText> records;
    std::size_t position = 0;
    while (position < text.size()) {
        if (isSeparator(text[position])) {
            ++position;
            continue;
        }
        if (text[position] != '{') {
            return tl::unexpected(
                RecordFileError{location(source, text, position), "expected '{' at the start of a record"});
        }
        const auto end = findObjectEnd(text, position);
        if (end == std::string_view::npos) {
            return tl::unexpected(
                RecordFileError{location(source, text, position), "missing '}' at the end of the record"});
        }
        records.push_back({location(source, text, position), std::string(text.substr(position, end - position))});
        position = end;
    }
    return records;
}

tl::expected<std::vector<RecordText>, RecordFileError> readRecords(const std::vector<std::string> &paths)
{
    std::vector<std::string> files;
    for (const auto &path : paths) {
        if (auto listed = listFiles(path, files); !listed) {
            return tl::unexpected(std::move(listed).error());
        }
    }
    std::vector<RecordText> records;
    for (const auto &file : files) {
        std::ifstream stream(file, std::ios::binary);
        const std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
        if (!stream) {
            return tl::unexpected(RecordFileError{file, "cannot read the file"});
        }
        auto split = splitRecords(file, text);
        if (!split) {
            return split;
        }
        records.insert(records.end(), std::make_move_iterator(split->begin()), std::make_move_iterator(split->end()));
    }
    return records;
}

} // namespace anvilscale
