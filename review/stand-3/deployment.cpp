#include "deployment.hpp"

#include <cstdlib>
#include <iostream>
#include <utility>

namespace stand3 {

namespace {

constexpr std::int64_t CallMilliseconds = 3'000; // the clients' deadline
constexpr std::int64_t RepeatMilliseconds = 500;
constexpr int Ok = 200;
constexpr auto Service = "huvo11a";
constexpr auto Prefix = "/puxa400/";
constexpr auto HostName = "pule25.example";
constexpr auto ApiKey = "sjnbanfqasnmgkcuyj8p";
constexpr auto StoreIp = "127.0.0.7";
constexpr auto CloudIp = "127.0.0.8";
constexpr int PortsOfMember = 18;
constexpr int FirstMember = 11;

auto headers() -> std::map<std::string, std::string>
{
    return {{"Host", HostName}, {"Content-Type", "application/json"}, {"X-Credential", ApiKey}};
}

auto at(const std::string &ip, int port) -> std::string
{
    return ip + ':' + std::to_string(port);
}

} // namespace

auto encode(const Configuration &configuration) -> std::string
{
    const auto route = Json{{"name", "r-iikdrbn"}, {"host", HostName},
                            {"prefix", Prefix},    {"route_type", "non_idempotent"},
                            {"timeout_ms", 3'000}, {"slo_ms", 600},
                            {"priority", 0},       {"service", Service},
                            {"attempts", 4},       {"stretch", 1.6},
                            {"public", false}};
    const auto service = Json{{"name", Service}, {"admission_check", true}, {"standby", false}};
    const auto tenant =
        Json{{"name", "cugo130"},
             {"api_keys", Json::array({ApiKey})},
             {"weight", 66},
             {"cap", {{"cpu", configuration.tenantMilliCores}, {"mem_mb", 0}, {"gpu", 0}}}};
    return Json{{"version", configuration.version},
                {"routes", Json::array({route})},
                {"services", Json::array({service})},
                {"limits", Json::object()},
                {"tenants", Json::array({tenant})}}
        .dump();
}

auto isTroubled() -> bool
{
    const auto *trouble = std::getenv("TROUBLE"); // NOLINT(concurrency-mt-unsafe)
    return trouble == nullptr || std::string(trouble) != "0";
}

auto settingsOf(int argc, char **argv) -> Deployment::Settings
{
    if (argc != 3) {
        std::cerr << "usage: " << argv[0] << " RECORD FOLDER\n";
        std::exit(2); // NOLINT(concurrency-mt-unsafe)
    }
    return {argv[1], argv[2]};
}

Deployment::Deployment(const Settings &settings)
    : record(settings.record)
    , m_port(findPorts(PortsOfMember))
    , store(loop, at(StoreIp, m_port))
{
    store.put("op/config", encode({}));
    auto listed = std::vector<Executor *>();
    for (auto n = 1; n <= settings.executors; ++n) {
        // Ids of one length, so that their order is that of the numbers.
        const auto number = std::to_string(n);
        const auto digits = (n < 10 ? "0" : "") + number;
        executors.push_back(std::make_unique<Executor>(
            loop, store, record,
            Executor::Settings{"i-7f3a91" + digits, "m-0a3f" + digits, Service,
                               at("127.0.1." + number, m_port), "bergen-a"}));
        listed.push_back(executors.back().get());
    }
    const auto cloudAddress = at(CloudIp, m_port);
    cloud = std::make_unique<Cloud>(loop, cloudAddress, std::move(listed));
    auto ips = std::vector<std::string>();
    for (auto n = 0; n < settings.members; ++n)
        ips.push_back("127.0.0." + std::to_string(FirstMember + n));
    members = std::make_unique<Members>(record,
                                        Members::Settings{settings.folder, std::move(ips), m_port,
                                                          at(StoreIp, m_port), cloudAddress});
    for (std::size_t n = 0; n < members->count(); ++n)
        members->start(n);
}

auto Deployment::declare(const Configuration &configuration) -> void
{
    store.put("op/config", encode(configuration));
    record.add("operator: configuration " + std::to_string(configuration.version) + ", cap "
               + std::to_string(configuration.tenantMilliCores));
}

auto Deployment::submit(const std::string &job, const std::string &steps) -> void
{
    attempt(job, R"({"spec":"text","steps":)" + steps + "}", 0);
}

auto Deployment::attempt(const std::string &job, const std::string &body, std::size_t member)
    -> void
{
    send(loop, members->front(member), "POST", Prefix + job, headers(), body, CallMilliseconds,
         [this, job, body, member](int status, const std::string &) {
             record.add("client: POST " + job + " at member " + std::to_string(member + 1) + " -> "
                        + std::to_string(status));
             if (status == Ok) {
                 m_accepted.insert(job);
                 return;
             }
             const auto next = (member + 1) % members->count();
             loop.after(RepeatMilliseconds, [this, job, body, next] { attempt(job, body, next); });
         });
}

auto Deployment::follow(const std::string &job) -> void
{
    ask(job, 0);
}

auto Deployment::ask(const std::string &job, std::size_t member) -> void
{
    send(loop, members->front(member), "GET", Prefix + job, headers(), {}, CallMilliseconds,
         [this, job, member](int status, const std::string &body) {
             auto answer = std::to_string(status);
             if (status == Ok) {
                 const auto value = Json::parse(body, nullptr, false);
                 if (value.is_object())
                     answer = value.value("state", answer);
             }
             auto &last = m_states[job];
             if (answer != std::exchange(last, answer))
                 record.add("client: GET " + job + " -> " + answer);
             loop.after(RepeatMilliseconds,
                        [this, job, member] { ask(job, (member + 1) % members->count()); });
         });
}

auto Deployment::isAccepted(const std::string &job) const -> bool
{
    return m_accepted.contains(job);
}

auto Deployment::state(const std::string &job) const -> std::string
{
    const auto it = m_states.find(job);
    return it == m_states.end() ? std::string() : it->second;
}

} // namespace stand3
