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
    void key(std::string_view name)
    {
        if (!first_) {
            out_ += ',';
        }
        first_ = false;
        appendString(name);
        out_ += ':';
    }
    void text(std::string_view name, std::string_view value)
    {
        if (!value.empty()) {
            key(name);
            appendString(value);
        }
    }
    void number(std::string_view name, std::uint64_t value)
    {
        if (value != 0) {
            key(name);
            out_ += std::to_string(value);
        }
    }
    void appendString(std::string_view value)
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

std::string_view className(const RecordForm &form)
{
    return form.callClass ? toString(*form.callClass) : std::string_view();
}

void writeV1(const RecordForm &form, ObjectWriter &object, std::string &out)
{
    object.text("kind", toString(form.kind));
    object.text("name", form.name);
    if (form.kind == RecordKind::Adapter) {
        object.text("baseModel", form.baseModel);
        object.key("versions");
        out += '[';
        for (std::size_t i = 0; i < form.versions.size(); ++i) {
            out += i == 0 ? "" : ",";
            object.appendString(form.versions[i].name);
        }
        out += ']';
        object.text("weights", form.versions.empty() ? std::string_view() : form.versions.front().weights);
        return;
    }
    object.text("adapter", form.adapter);
    object.text("version", form.version);
    object.number("deadlineMs", form.deadlineMs);
    object.text("priority", className(form));
}

void writeV2(const RecordForm &form, ObjectWriter &object, std::string &out)
{
    object.text("name", form.name);
    object.key(toString(form.kind));
    ObjectWriter body(out);
    if (form.kind == RecordKind::Adapter) {
        body.text("baseModel", form.baseModel);
        body.key("versions");
        out += '[';
        for (std::size_t i = 0; i < form.versions.size(); ++i) {
            out += i == 0 ? "" : ",";
            ObjectWriter version(out);
            version.text("name", form.versions[i].name);
            version.text("weights", form.versions[i].weights);
            version.close();
        }
        out += ']';
    } else {
        body.text("adapter", form.adapter);
        body.text("version", form.version);
        body.number("deadlineMs", form.deadlineMs);
        body.text("callClass", className(form));
        body.text("nextVersion", form.nextVersion);
    }
    body.close();
}

} // namespace

std::string writeRecord(const RecordForm &form)
{
    std::string out;
    ObjectWriter object(out);
    object.number("schemaVersion", form.schemaVersion);
    if (form.schemaVersion == 1) {
        writeV1(form, object, out);
    } else {
        writeV2(form, object, out);
    }
    object.close();
    return out;
}

} // namespace anvilscale
