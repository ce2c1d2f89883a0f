#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

namespace shallotproxy {

/// A value as bytes, for a record of the platform's service or for another member.
template <typename T>
auto packRecord(const T &value) -> std::string
{
    auto buf = msgpack::sbuffer();
    msgpack::pack(buf, value);
    return {buf.data(), buf.size()};
}

/// Unpacks bytes that may be anybody's. No container may claim more elements than there are bytes:
/// the library makes room for what is claimed before it reads on.
inline auto unpackBounded(std::string_view bytes) -> msgpack::object_handle
{
    const auto most = bytes.size();
    return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                           msgpack::unpack_limit(most, most, most, most, most));
}

/// No value if the bytes hold none of this type.
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
