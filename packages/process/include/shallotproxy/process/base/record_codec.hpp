#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

namespace shallotproxy {

/// Packs a value into bytes, for a record in the platform's key-value service or for another
/// member.
template <typename T>
auto packRecord(const T &value) -> std::string
{
    auto buf = msgpack::sbuffer();
    msgpack::pack(buf, value);
    return {buf.data(), buf.size()};
}

/// Unpacks bytes from an untrusted source. Containers that declare more elements than there are
/// bytes are rejected, because the library allocates memory for the declared count before it reads
/// on.
inline auto unpackBounded(std::string_view bytes) -> msgpack::object_handle
{
    const auto maxElements = bytes.size();
    return msgpack::unpack(
        bytes.data(), bytes.size(), nullptr, nullptr,
        msgpack::unpack_limit(maxElements, maxElements, maxElements, maxElements, maxElements));
}

/// Unpacks a value. Returns no value if the bytes do not encode one of this type.
template <typename T>
auto unpackRecord(std::string_view bytes) -> std::optional<T>
{
    try {
        return unpackBounded(bytes).get().as<T>();
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    }
}

} // namespace shallotproxy
