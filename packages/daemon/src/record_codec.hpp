#pragma once

#include <optional>
#include <string>

#include <msgpack.hpp>

namespace shallotproxy {

/// A value as it is kept in the platform's service.
template <typename T>
auto packRecord(const T &value) -> std::string
{
    auto buf = msgpack::sbuffer();
    msgpack::pack(buf, value);
    return {buf.data(), buf.size()};
}

template <typename T>
auto unpackRecord(const std::string &bytes) -> std::optional<T>
{
    try {
        return msgpack::unpack(bytes.data(), bytes.size()).get().as<T>();
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    }
}

} // namespace shallotproxy
