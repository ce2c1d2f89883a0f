#include <algorithm>
#include <array>
#include <set>

#include <QDir>
#include <QFile>

#include <fmt/format.h>

#include "shallotproxy/version/input/declarations.hpp"
#include "shallotproxy/version/input/yaml_reader.hpp"

namespace shallotproxy {

namespace {

constexpr std::uint64_t MaxHosts = 1'000'000;
constexpr std::uint64_t MaxDeadlineMilliseconds = 3'600'000;
constexpr std::array<std::string_view, 3> StateWords = {"in", "leaving", "out"};
constexpr std::array<std::string_view, 2> RoleWords = {"target", "worker"};

template <typename Key, typename Value>
auto insertUnique(std::map<Key, Value> &map, const YamlMap &yaml, Value value) -> void
{
    const auto name = value.name;
    if (!map.emplace(name, std::move(value)).second) {
        yaml.report(InputError::Kind::Duplicate, "name", fmt::format("'{}'", name.value()),
                    "a name that is declared once");
    }
}

/// Reads declarations of all kinds into a configuration.
class DeclarationReader
{
public:
    auto readFile(const YamlMap &root) -> void
    {
        static constexpr std::array<std::string_view, 5> Keys = {"dataCentres", "pools", "hosts",
                                                                 "teams", "queues"};
        root.allowKeys(Keys);
        for (const auto &it : root.list("dataCentres"))
            readDataCentre(it);
        for (const auto &it : root.list("pools"))
            readPool(it);
        for (const auto &it : root.list("hosts"))
            readHost(it);
        for (const auto &it : root.list("teams"))
            readTeam(it);
        for (const auto &it : root.list("queues"))
            readQueue(it);
    }

    /// Checks the declarations against each other; call once all files are read.
    auto checkReferences() -> void
    {
        for (const auto &it : m_referenceChecks)
            it(m_configuration);
    }

    auto release() -> Configuration { return std::move(m_configuration); }

private:
    auto readDataCentre(const YamlMap &yaml) -> void
    {
        static constexpr std::array<std::string_view, 2> Keys = {"name", "state"};
        yaml.allowKeys(Keys);
        auto dataCentre = DataCentre();
        dataCentre.name = DataCentreName(yaml.text("name"));
        dataCentre.state = static_cast<ServiceState>(yaml.word("state", StateWords));
        insertUnique(m_configuration.dataCentres, yaml, std::move(dataCentre));
    }

    auto readPool(const YamlMap &yaml) -> void
    {
        static constexpr std::array<std::string_view, 2> Keys = {"name", "maxUnavailable"};
        yaml.allowKeys(Keys);
        auto pool = Pool();
        pool.name = PoolName(yaml.text("name"));
        pool.maxUnavailable =
            static_cast<std::uint32_t>(yaml.number("maxUnavailable", 0, MaxHosts, 1));
        m_referenceChecks.emplace_back([yaml, pool](const Configuration &configuration) {
            const auto inPool = [&pool](const auto &entry) {
                return entry.second.pool == pool.name;
            };
            const auto n = std::ranges::count_if(configuration.hosts, inPool);
            if (pool.maxUnavailable == 0 && n > 0) {
                yaml.report(InputError::Kind::Unreachable, "maxUnavailable", "0",
                            "at least 1, or no wave could ever take a host out");
            }
        });
        insertUnique(m_configuration.pools, yaml, std::move(pool));
    }

    auto readHost(const YamlMap &yaml) -> void
    {
        static constexpr std::array<std::string_view, 12> Keys = {
            "name",    "dataCentre", "rack",        "pool",  "role",   "state",
            "address", "slots",      "connections", "cores", "memory", "accelerators"};
        yaml.allowKeys(Keys);
        auto host = Host();
        host.name = HostName(yaml.text("name"));
        host.dataCentre = DataCentreName(yaml.text("dataCentre"));
        host.rack = RackName(yaml.text("rack", ""));
        host.pool = PoolName(yaml.text("pool"));
        host.role = static_cast<HostRole>(yaml.word("role", RoleWords));
        host.state = static_cast<ServiceState>(yaml.word("state", StateWords));
        host.address = yaml.endpoint("address");
        readCapacity(yaml, host);
        m_referenceChecks.emplace_back([yaml, host](const Configuration &configuration) {
            if (!configuration.dataCentres.contains(host.dataCentre)) {
                yaml.report(InputError::Kind::UnknownReference, "dataCentre",
                            fmt::format("'{}'", host.dataCentre.value()), "a declared data centre");
            }
            if (!configuration.pools.contains(host.pool)) {
                yaml.report(InputError::Kind::UnknownReference, "pool",
                            fmt::format("'{}'", host.pool.value()), "a declared pool");
            }
        });
        insertUnique(m_configuration.hosts, yaml, std::move(host));
    }

    static auto readCapacity(const YamlMap &yaml, Host &host) -> void
    {
        constexpr std::uint64_t MaxCount = 65'536;
        const auto isTarget = host.role == HostRole::Target;
        const auto minimum = std::uint64_t{isTarget ? 1U : 0U};
        const auto fallbackUnlessTarget = [isTarget](std::uint64_t fallback) {
            return isTarget ? std::optional<std::uint64_t>() : std::optional(fallback);
        };
        host.slots = static_cast<std::uint32_t>(
            yaml.number("slots", minimum, MaxCount, fallbackUnlessTarget(0)));
        host.connections = static_cast<std::uint32_t>(
            yaml.number("connections", minimum, MaxCount, fallbackUnlessTarget(0)));
        const auto cores = isTarget ? std::optional<std::uint64_t>(0) : std::nullopt;
        host.cores =
            static_cast<std::uint32_t>(yaml.number("cores", isTarget ? 0 : 1, MaxCount, cores));
        host.memoryBytes = yaml.bytes("memory", cores);
        host.accelerators = static_cast<std::uint32_t>(yaml.number("accelerators", 0, MaxCount, 0));
    }

    auto readTeam(const YamlMap &yaml) -> void
    {
        static constexpr std::array<std::string_view, 4> Keys = {"name", "share", "limit", "keys"};
        constexpr std::uint64_t MaxShare = 1'000'000;
        yaml.allowKeys(Keys);
        auto team = Team();
        team.name = TeamName(yaml.text("name"));
        team.share = static_cast<std::uint32_t>(yaml.number("share", 1, MaxShare));
        team.limit = static_cast<std::uint32_t>(yaml.number("limit", 1, MaxHosts));
        for (const auto &it : yaml.list("keys"))
            team.keys.push_back(readKey(it));
        m_referenceChecks.emplace_back([yaml, team](const Configuration &configuration) {
            const auto capacity = totalCapacity(configuration);
            if (capacity > 0 && team.limit > capacity) {
                yaml.report(InputError::Kind::Unreachable, "limit", fmt::format("{}", team.limit),
                            fmt::format("at most {}, the slots and cores of all hosts", capacity));
            }
        });
        insertUnique(m_configuration.teams, yaml, std::move(team));
    }

    auto readKey(const YamlMap &yaml) -> TeamKey
    {
        static constexpr std::array<std::string_view, 2> Keys = {"name", "digest"};
        constexpr std::size_t DigestLength = 64;
        yaml.allowKeys(Keys);
        auto key = TeamKey{KeyName(yaml.text("name")), yaml.text("digest")};
        const auto isHex = key.digest.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (key.digest.size() != DigestLength || !isHex) {
            yaml.report(InputError::Kind::WrongType, "digest", "a text of another form",
                        "64 lower-case hexadecimal digits (SHA-256)");
        }
        if (!m_keyNames.insert(key.name).second) {
            yaml.report(InputError::Kind::Duplicate, "name", fmt::format("'{}'", key.name.value()),
                        "a key name that is declared once");
        }
        return key;
    }

    auto readQueue(const YamlMap &yaml) -> void
    {
        static constexpr std::array<std::string_view, 7> Keys = {
            "name", "pool", "open", "urgent", "idempotent", "deadline", "capacity"};
        constexpr std::uint64_t MaxCapacity = 100'000;
        yaml.allowKeys(Keys);
        auto queue = Queue();
        queue.name = QueueName(yaml.text("name"));
        queue.pool = PoolName(yaml.text("pool"));
        queue.isOpen = yaml.flag("open", false);
        queue.isUrgent = yaml.flag("urgent", false);
        queue.isIdempotent = yaml.flag("idempotent", false);
        queue.deadlineMilliseconds = static_cast<std::uint32_t>(
            yaml.milliseconds("deadline", 1, MaxDeadlineMilliseconds, queue.deadlineMilliseconds));
        queue.capacity =
            static_cast<std::uint32_t>(yaml.number("capacity", 1, MaxCapacity, queue.capacity));
        m_referenceChecks.emplace_back([yaml, queue](const Configuration &configuration) {
            if (!configuration.pools.contains(queue.pool)) {
                yaml.report(InputError::Kind::UnknownReference, "pool",
                            fmt::format("'{}'", queue.pool.value()), "a declared pool");
            }
        });
        insertUnique(m_configuration.queues, yaml, std::move(queue));
    }

    /// Returns the slots of all targets and the cores of all workers.
    static auto totalCapacity(const Configuration &configuration) -> std::uint64_t
    {
        auto total = std::uint64_t{0};
        for (const auto &[name, host] : configuration.hosts)
            total += host.role == HostRole::Target ? host.slots : host.cores;
        return total;
    }

    Configuration m_configuration;
    std::set<KeyName> m_keyNames;
    // Run once all files are read.
    std::vector<std::function<void(const Configuration &)>> m_referenceChecks;
};

} // namespace

auto readDeclarations(std::span<const DeclarationFile> files)
    -> tl::expected<Configuration, InputErrors>
{
    auto errors = InputErrors();
    auto reader = DeclarationReader();
    for (const auto &file : files) {
        const auto root = parseYaml(file.text, file.name, errors);
        if (root)
            reader.readFile(*root);
    }
    reader.checkReferences();
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return reader.release();
}

auto loadDeclarationFiles(const std::string &path)
    -> tl::expected<std::vector<DeclarationFile>, InputErrors>
{
    const auto directory = QDir(QString::fromStdString(path));
    auto names = QStringList{QString::fromStdString(path)};
    if (directory.exists()) {
        names.clear();
        const auto entries =
            directory.entryList({QStringLiteral("*.yaml")}, QDir::Files, QDir::Name);
        for (const auto &it : entries)
            names.append(directory.filePath(it));
    }
    auto files = std::vector<DeclarationFile>();
    for (const auto &it : names) {
        auto file = QFile(it);
        if (!file.open(QIODevice::ReadOnly)) {
            return tl::unexpected(
                InputErrors{{InputError::Kind::Unreadable, it.toStdString(), 0, "",
                             file.errorString().toStdString(), "a readable file"}});
        }
        files.push_back({it.toStdString(), file.readAll().toStdString()});
    }
    if (files.empty()) {
        return tl::unexpected(InputErrors{{InputError::Kind::Unreadable, path, 0, "",
                                           "no *.yaml file", "a directory with declarations"}});
    }
    return files;
}

} // namespace shallotproxy
