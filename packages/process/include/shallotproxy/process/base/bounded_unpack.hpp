#pragma once

#include <string_view>

#include <msgpack.hpp>

namespace shallotproxy {

/// Unpacks bytes that may be anybody's. No container may claim more elements than there are bytes:
/// the library makes room for what is claimed before it reads on.
inline auto unpackBounded(std::string_view bytes) -> msgpack::object_handle
{
    const auto most = bytes.size();
    return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                           msgpack::unpack_limit(most, most, most, most, most));
}

} // namespace shallotproxy
