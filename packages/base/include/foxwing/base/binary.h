/*
    Compact binary encoding of typed messages, through the same describe() as the JSON codec.

        std::string bytes = toBinary(message);
        if (!fromBinary(bytes, &message, &reason))
            ...

    Integers are variable-length, and fields are in the order of describe(). Both ends must run the
    same version of a message, except that fields may be added at the end: a reader leaves fields
    that are missing there at their defaults. encodeFrame() and decodeFrame() encode a std::variant
    and put the index of its alternative first.

    [SECTION] Writer
    [SECTION] Reader
    [SECTION] Messages
*/
#pragma once

#include <cstring>
#include <string_view>

#include <foxwing/base/codec.h>

namespace foxwing {

// [SECTION] Writer

class BinaryWriter
{
public:
    template<class T>
    void operator()(const char *, const T &value)
    {
        write(value);
    }

    std::string take() { return std::move(m_bytes); }

    void writeUnsigned(std::uint64_t value)
    {
        while (value >= 0x80) {
            m_bytes.push_back(static_cast<char>(value | 0x80));
            value >>= 7;
        }
        m_bytes.push_back(static_cast<char>(value));
    }

    template<class T>
    void write(const T &value)
    {
        if constexpr (IsDuration<T>::value) {
            writeSigned(value.count());
        } else if constexpr (std::is_same_v<T, std::string>) {
            writeUnsigned(value.size());
            m_bytes += value;
        } else if constexpr (std::is_same_v<T, double>) {
            char raw[sizeof(double)];
            std::memcpy(raw, &value, sizeof raw);
            m_bytes.append(raw, sizeof raw);
        } else if constexpr (std::is_enum_v<
                                     T> || std::is_same_v<T, bool> || std::is_unsigned_v<T>) {
            writeUnsigned(static_cast<std::uint64_t>(value));
        } else if constexpr (std::is_integral_v<T>) {
            writeSigned(value);
        } else if constexpr (IsVector<T>::value) {
            writeUnsigned(value.size());
            for (const auto &item : value)
                write(item);
        } else {
            describe(*this, const_cast<T &>(value));
        }
    }

private:
    void writeSigned(std::int64_t value)
    {
        writeUnsigned((static_cast<std::uint64_t>(value) << 1U)
                      ^ static_cast<std::uint64_t>(value >> 63));
    }

    std::string m_bytes;
};

// [SECTION] Reader

class BinaryReader
{
public:
    // Items of all lists in one message; a directory of 2,000 hosts has a tenth of it.
    static constexpr std::uint64_t MaxItems = 200000;

    explicit BinaryReader(std::string_view bytes)
        : m_rest(bytes)
    { }

    template<class T>
    void operator()(const char *, T &value)
    {
        // Fields that an older writer doesn't know keep their defaults.
        if (m_ok && !m_rest.empty())
            read(value);
    }

    bool ok() const { return m_ok; }

    std::uint64_t readUnsigned()
    {
        std::uint64_t value = 0;
        // Nine bytes hold 63 bits; the tenth may hold one more.
        constexpr unsigned LastShift = 63;
        for (unsigned shift = 0; shift <= LastShift; shift += 7) {
            if (m_rest.empty())
                break;
            const auto byte = static_cast<unsigned char>(m_rest.front());
            m_rest.remove_prefix(1);
            if (shift == LastShift && byte > 1)
                break;
            value |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
            if (byte < 0x80)
                return value;
        }
        m_ok = false;
        return 0;
    }

    template<class T>
    void read(T &value)
    {
        if constexpr (IsDuration<T>::value) {
            value = T(static_cast<typename T::rep>(readSigned()));
        } else if constexpr (std::is_same_v<T, std::string>) {
            const std::uint64_t size = readUnsigned();
            value = std::string(readBytes(size));
        } else if constexpr (std::is_same_v<T, double>) {
            const std::string_view raw = readBytes(sizeof(double));
            if (m_ok)
                std::memcpy(&value, raw.data(), sizeof(double));
        } else if constexpr (std::is_enum_v<T> || std::is_unsigned_v<T>) {
            value = readValue<T>();
        } else if constexpr (std::is_integral_v<T>) {
            static_assert(sizeof(T) == sizeof(std::int64_t),
                          "narrower signed types need a range check");
            value = static_cast<T>(readSigned());
        } else if constexpr (IsVector<T>::value) {
            readVector(value);
        } else {
            describe(*this, value);
        }
    }

private:
    std::int64_t readSigned()
    {
        const std::uint64_t raw = readUnsigned();
        return static_cast<std::int64_t>(raw >> 1U) ^ -static_cast<std::int64_t>(raw & 1U);
    }

    // Checks the range: truncated to the field's type, a corrupt number could pass for a valid one.
    template<class T>
    T readValue()
    {
        const std::uint64_t number = readUnsigned();
        m_ok = m_ok && isValueOf<T>(number);
        return m_ok ? static_cast<T>(number) : T {};
    }

    std::string_view readBytes(std::uint64_t size)
    {
        if (size > m_rest.size()) {
            m_ok = false;
            return {};
        }
        const std::string_view bytes = m_rest.substr(0, size);
        m_rest.remove_prefix(size);
        return bytes;
    }

    template<class T>
    void readVector(std::vector<T> &value)
    {
        const std::uint64_t size = readUnsigned();
        // Each item has at least one byte, so a larger size is corrupt and must not be allocated.
        // Nor is a smaller one before the items are there: in memory they may be far larger.
        if (size > m_rest.size() || size > m_itemsLeft) {
            m_ok = false;
            return;
        }
        m_itemsLeft -= size;
        value.clear();
        for (std::uint64_t index = 0; m_ok && index < size; ++index) {
            if (m_rest.empty()) {
                m_ok = false;
                return;
            }
            value.emplace_back();
            read(value.back());
        }
    }

    std::string_view m_rest;

    // Items of lists that the rest of the message may have
    std::uint64_t m_itemsLeft = MaxItems;
    bool m_ok = true;
};

// [SECTION] Messages

template<class T>
std::string toBinary(const T &message)
{
    BinaryWriter writer;
    writer.write(message);
    return writer.take();
}

template<class T>
bool fromBinary(std::string_view bytes, T *message, Error *reason)
{
    BinaryReader reader(bytes);
    reader.read(*message);
    if (!reader.ok())
        fail(reason, ErrorKind::BadRequest,
             "message truncated or invalid; check that both processes run the same version");
    return reader.ok();
}

template<class... Messages>
std::string encodeFrame(const std::variant<Messages...> &message)
{
    BinaryWriter writer;
    writer.writeUnsigned(message.index());
    std::visit([&writer](const auto &alternative) { writer.write(alternative); }, message);
    return writer.take();
}

template<class Variant, std::size_t Index = 0>
std::optional<Variant> readAlternative(std::uint64_t index, BinaryReader &reader, Error *reason)
{
    if constexpr (Index == std::variant_size_v<Variant>) {
        return fail(reason, ErrorKind::BadRequest,
                    "unknown message index " + std::to_string(index)
                            + "; upgrade the process that received it");
    } else {
        if (index != Index)
            return readAlternative<Variant, Index + 1>(index, reader, reason);
        std::variant_alternative_t<Index, Variant> message;
        reader.read(message);
        if (!reader.ok())
            return fail(reason, ErrorKind::BadRequest,
                        "message truncated or invalid; check that both processes run the same "
                        "version");
        return Variant(std::move(message));
    }
}

template<class Variant>
std::optional<Variant> decodeFrame(std::string_view bytes, Error *reason)
{
    BinaryReader reader(bytes);
    const std::uint64_t index = reader.readUnsigned();
    return readAlternative<Variant>(index, reader, reason);
}

} // namespace foxwing
