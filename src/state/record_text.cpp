// Canonical JSON of adapters and routes, from which the store can reproduce their texts.
#include "record.h"

namespace anvilscale {
namespace {

/// Writes one JSON object. Members with empty or zero values are omitted.
class ObjectWriter
{
public:
    explicit ObjectWriter(std::string &out)
        : out_(out)
    {
        out_ += '{';
    }
    void writeKey(std::string_view name)
    {
        if (!first_) {
            out_ += ',';
        }
        first_ = false;
        appendQuoted(name);
        out_ += ':';
    }
    void writeText(std::string_view name, std::string_view value)
    {
        if (!value.empty()) {
            writeKey(name);
            appendQuoted(value);
        }
    }
    void writeNumber(std::string_view name, std::uint64_t value)
    {
        if (value != 0) {
            writeKey(name);
            out_ += std::to_string(value);
        }
    }
    void appendQuoted(std::string_view value)
    {
        out_ += '"';
        for (const char c : value) {
            if (c == '"' || c == '\\') {
                out_ += '\\';
            }
            out_ += c;
        }
        out_ += '"';
    }
    void close()
    {
        out_ += '}';
    }

private:
    std::string &out_;
    bool first_ = true;
};

std::string_view callClassName(const RecordForm &form)
{
    return form.callClass ? toString(*form.callClass) : std::string_view();
}

void writeV1(const RecordForm &form, ObjectWriter &object, std::string &out)
{
    object.writeText("kind", toString(form.kind));
    object.writeText("name", form.name);
    if (form.kind == RecordKind::Adapter) {
        object.writeText("baseModel", form.baseModel);
        object.writeKey("versions");
        out += '[';
        for (std::size_t i = 0; i < form.versions.size(); ++i) {
            out += i == 0 ? "" : ",";
            object.appendQuoted(form.versions[i].name);
        }
        out += ']';
        object.writeText("weights", form.versions.empty() ? std::string_view() : form.versions.front().weights);
        return;
    }
    object.writeText("adapter", form.adapter);
    object.writeText("version", form.version);
    object.writeNumber("deadlineMs", form.deadlineMs);
    object.writeText("priority", callClassName(form));
}

void writeV2(const RecordForm &form, ObjectWriter &object, std::string &out)
{
    object.writeText("name", form.name);
    object.writeKey(toString(form.kind));
    ObjectWriter body(out);
    if (form.kind == RecordKind::Adapter) {
        body.writeText("baseModel", form.baseModel);
        body.writeKey("versions");
        out += '[';
        for (std::size_t i = 0; i < form.versions.size(); ++i) {
            out += i == 0 ? "" : ",";
            ObjectWriter version(out);
            version.writeText("name", form.versions[i].name);
            version.writeText("weights", form.versions[i].weights);
            version.close();
        }
        out += ']';
    } else {
        body.writeText("adapter", form.adapter);
        body.writeText("version", form.version);
        body.writeNumber("deadlineMs", form.deadlineMs);
        body.writeText("callClass", callClassName(form));
        body.writeText("nextVersion", form.nextVersion);
    }
    body.close();
}

} // namespace

std::string writeRecord(const RecordForm &form)
{
    std::string out;
    ObjectWriter object(out);
    object.writeNumber("schemaVersion", form.schemaVersion);
    if (form.schemaVersion == 1) {
        writeV1(form, object, out);
    } else {
        writeV2(form, object, out);
    }
    object.close();
    return out;
}

} // namespace anvilscale
