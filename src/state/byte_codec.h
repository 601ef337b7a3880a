// Encoding of packed records: variable-length integers of 7 bits per byte, and length-prefixed strings.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace anvilscale {

class ByteWriter
{
public:
    void writeNumber(std::uint64_t value)
    {
        while (value >= 0x80) {
            bytes_ += static_cast<char>(value | 0x80);
            value >>= 7;
        }
        bytes_ += static_cast<char>(value);
    }
    void writeText(std::string_view value)
    {
        writeNumber(value.size());
        bytes_ += value;
    }
    std::string take()
    {
        return std::move(bytes_);
    }

private:
    std::string bytes_;
};

/// Decodes the output of a ByteWriter of this process. Input is trusted; bounds are not checked.
class ByteReader
{
public:
    explicit ByteReader(const char *start)
        : next_(start)
        , start_(start)
    {
    }
    std::uint64_t readNumber()
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0;; shift += 7) {
            const auto byte = static_cast<unsigned char>(*next_++);
            value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if (byte < 0x80) {
                return value;
            }
        }
    }
    std::string_view readText()
    {
        const auto size = static_cast<std::size_t>(readNumber());
        const std::string_view value(next_, size);
        next_ += size;
        return value;
    }
    std::size_t consumed() const
    {
        return static_cast<std::size_t>(next_ - start_);
    }

private:
    const char *next_;
    const char *start_;
};

} // namespace anvilscale
