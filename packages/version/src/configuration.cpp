#include <algorithm>

#include "shallotproxy/process/base/record_codec.hpp"
#include "shallotproxy/version/configuration/codec.hpp"
#include "shallotproxy/version/configuration/configuration.hpp"

namespace shallotproxy {

namespace {

template <typename Map>
auto valuesOf(const Map &map) -> std::vector<typename Map::mapped_type>
{
    auto values = std::vector<typename Map::mapped_type>();
    for (const auto &[name, value] : map)
        values.push_back(value);
    return values;
}

template <typename Value, typename Map>
auto fillMap(const msgpack::object &object, Map &map) -> void
{
    for (auto &value : object.as<std::vector<Value>>()) {
        auto name = value.name;
        map.emplace(std::move(name), std::move(value));
    }
}

constexpr std::uint32_t FieldCount = 7; // of an encoded configuration

} // namespace

auto Configuration::acceptsWork(const Host &host) const -> bool
{
    const auto it = dataCentres.find(host.dataCentre);
    return host.state == ServiceState::In && it != dataCentres.end()
        && it->second.state == ServiceState::In;
}

auto encodeConfiguration(const Configuration &configuration) -> std::vector<std::string>
{
    auto buf = msgpack::sbuffer();
    auto packer = msgpack::packer(buf);
    packer.pack_array(FieldCount);
    packer.pack(configuration.version);
    packer.pack(valuesOf(configuration.dataCentres));
    packer.pack(valuesOf(configuration.pools));
    packer.pack(valuesOf(configuration.hosts));
    packer.pack(valuesOf(configuration.teams));
    packer.pack(valuesOf(configuration.queues));
    packer.pack(valuesOf(configuration.maintenance));

    const auto bytes = std::string_view(buf.data(), buf.size());
    auto parts = std::vector<std::string>();
    for (std::size_t i = 0; i < bytes.size(); i += MaxStoreValueBytes)
        parts.emplace_back(bytes.substr(i, MaxStoreValueBytes));
    return parts;
}

auto decodeConfiguration(std::span<const std::string> parts) -> std::optional<Configuration>
{
    auto bytes = std::string();
    for (const auto &it : parts)
        bytes += it;
    try {
        const auto handle = unpackBounded(bytes);
        const auto &root = handle.get();
        if (root.type != msgpack::type::ARRAY || root.via.array.size != FieldCount)
            return std::nullopt;
        const auto fields = std::span(root.via.array.ptr, root.via.array.size);
        auto configuration = Configuration();
        configuration.version = fields[0].as<ConfigurationVersion>();
        fillMap<DataCentre>(fields[1], configuration.dataCentres);
        fillMap<Pool>(fields[2], configuration.pools);
        fillMap<Host>(fields[3], configuration.hosts);
        fillMap<Team>(fields[4], configuration.teams);
        fillMap<Queue>(fields[5], configuration.queues);
        fillMap<MaintenanceJob>(fields[6], configuration.maintenance);
        return configuration;
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    }
}

} // namespace shallotproxy
