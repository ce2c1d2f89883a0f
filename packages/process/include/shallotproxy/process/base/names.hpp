#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include <msgpack.hpp>

namespace shallotproxy {

/// A name of the kind given by `Tag`. Distinct types keep, for example, the name of a pool from
/// being used as the name of a team.
template <typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string value)
        : m_value(std::move(value))
    { }

    [[nodiscard]] auto value() const -> const std::string & { return m_value; }
    [[nodiscard]] auto isEmpty() const -> bool { return m_value.empty(); }
    auto operator<=>(const Name &other) const = default; // NOLINT(modernize-use-nullptr)

    MSGPACK_DEFINE(m_value)

private:
    std::string m_value;
};

using MemberName = Name<struct MemberTag>;
using TeamName = Name<struct TeamTag>;
using PoolName = Name<struct PoolTag>;
using HostName = Name<struct HostTag>;
using DataCentreName = Name<struct DataCentreTag>;
using RackName = Name<struct RackTag>;
using QueueName = Name<struct QueueTag>;
using KeyName = Name<struct KeyTag>;
using RequestId = Name<struct RequestTag>;
using TaskId = Name<struct TaskTag>;
using IntentId = Name<struct IntentTag>;

/// Version of the configuration; every accepted change increases it by one.
using ConfigurationVersion = std::uint64_t;

/// One run of a member process. A restarted member is a new incarnation.
struct Incarnation
{
    MemberName member;
    std::uint64_t number = 0;

    auto operator<=>(const Incarnation &other) const = default; // NOLINT(modernize-use-nullptr)
    MSGPACK_DEFINE(member, number)
};

/// Returns `count` random bytes from the system's generator in lower-case hexadecimal.
auto randomHex(std::size_t count) -> std::string;

/// Returns a random 64-bit number from the system's generator, never 0.
auto randomNumber() -> std::uint64_t;

} // namespace shallotproxy

template <typename Tag>
struct std::hash<shallotproxy::Name<Tag>>
{
    auto operator()(const shallotproxy::Name<Tag> &name) const noexcept -> std::size_t
    {
        return std::hash<std::string>()(name.value());
    }
};
