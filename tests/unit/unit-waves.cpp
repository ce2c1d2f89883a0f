#include <algorithm>
#include <map>
#include <memory>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/version.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr auto HostsPerPool = 7;
constexpr auto TickStep = 500ms;

auto hostName(int pool, int number) -> HostName
{
    return HostName("host-" + std::to_string(pool) + "-" + std::to_string(number));
}

auto poolName(int number) -> PoolName
{
    return PoolName("pool-" + std::to_string(number));
}

auto fleet() -> Configuration
{
    auto configuration = Configuration();
    configuration.version = 1;
    for (auto i = 0; i < 3; ++i) {
        const auto name = DataCentreName("centre-" + std::to_string(i));
        configuration.dataCentres.emplace(name, DataCentre{name, ServiceState::In});
        configuration.pools.emplace(poolName(i),
                                    Pool{poolName(i), static_cast<std::uint32_t>(1 + i % 2)});
        for (auto n = 0; n < HostsPerPool; ++n) {
            auto host = Host();
            host.name = hostName(i, n);
            host.dataCentre = DataCentreName("centre-" + std::to_string(n % 3));
            host.pool = poolName(i);
            configuration.hosts.emplace(host.name, host);
        }
    }
    return configuration;
}

/// A fault that is injected between two steps of the simulation.
struct Fault
{
    enum class Kind {
        None,
        DriverRestarts, // with no state
        SecondDriver, // a second member drives as well, with an older view
        GrantLost,
        RepliesLost, // of drain checks and reboots
        HostFails,
        HostRecovers,
        OperatorDrains, // concurrently with the driver
        OperatorRestores,
        DataCentreOut, // by an operator who permits it to break budgets
        DataCentreIn,
    };

    Kind kind = Kind::None;
    int pool = 0;
    int host = 0;
};

auto showValue(const Fault &fault, std::ostream &stream) -> void
{
    stream << static_cast<int>(fault.kind) << '/' << fault.pool << '/' << fault.host;
}

auto faultGen() -> rc::Gen<Fault>
{
    const auto kind = rc::gen::weightedElement<int>(
        {{10, 0}, {2, 1}, {2, 2}, {2, 3}, {2, 4}, {1, 5}, {2, 6}, {1, 7}, {2, 8}, {1, 9}, {2, 10}});
    return rc::gen::map(
        rc::gen::tuple(kind, rc::gen::inRange(0, 3), rc::gen::inRange(0, HostsPerPool)),
        [](const std::tuple<int, int, int> &it) {
            return Fault{static_cast<Fault::Kind>(std::get<0>(it)), std::get<1>(it),
                         std::get<2>(it)};
        });
}

/// Simulates a configuration store with compare-and-swap on the version, maintenance drivers, and a
/// platform that reboots hosts.
class Simulation
{
public:
    explicit Simulation(const std::vector<Intent> &intents)
    {
        m_configuration = std::make_shared<const Configuration>(fleet());
        for (const auto &it : intents)
            confirm(it);
        m_driver = std::make_unique<MaintenanceDriver>();
        m_driverView = m_configuration;
    }

    auto run(const Fault &fault) -> void
    {
        m_fault = fault.kind;
        inject(fault);
        m_now += TickStep;
        if (m_secondDriver) {
            // Its view is older, so the compare-and-swap must reject whatever it grants.
            drive(*m_secondDriver, m_secondView);
            m_secondDriver.reset();
        }
        m_driverView = m_configuration;
        drive(*m_driver, m_driverView);
    }

    [[nodiscard]] auto isDone() const -> bool { return m_configuration->maintenance.empty(); }
    [[nodiscard]] auto configuration() const -> const Configuration & { return *m_configuration; }

    std::map<HostName, int> reboots;
    bool isBudgetBroken = false;
    bool isEveryHostInOnePool = true;

private:
    auto confirm(const Intent &intent) -> void
    {
        const auto id = IntentId("job-" + std::to_string(++m_lastIntent));
        auto plan = planIntent(*m_configuration, intent, m_failed, id);
        if (plan)
            publish(std::move(plan->result), false);
    }

    /// Publishes a configuration by compare-and-swap on the version; returns whether it succeeded.
    auto publish(Configuration next, bool mayBreak) -> bool
    {
        if (next.version != m_configuration->version + 1)
            return false;
        if (!mayBreak && !brokenBudgets(*m_configuration, next, m_failed).empty())
            isBudgetBroken = true;
        isEveryHostInOnePool =
            isEveryHostInOnePool && next.hosts.size() == m_configuration->hosts.size();
        for (const auto &[name, host] : next.hosts)
            isEveryHostInOnePool = isEveryHostInOnePool && next.pools.contains(host.pool);
        m_configuration = std::make_shared<const Configuration>(std::move(next));
        return true;
    }

    auto inject(const Fault &fault) -> void
    {
        const auto host = hostName(fault.pool, fault.host);
        const auto dataCentre = DataCentreName("centre-" + std::to_string(fault.pool));
        switch (fault.kind) {
        case Fault::Kind::DriverRestarts:
            m_driver = std::make_unique<MaintenanceDriver>();
            break;
        case Fault::Kind::SecondDriver:
            m_secondDriver = std::make_unique<MaintenanceDriver>();
            m_secondView = m_driverView;
            break;
        case Fault::Kind::HostFails:
            m_failed.insert(host);
            break;
        case Fault::Kind::HostRecovers:
            m_failed.clear();
            break;
        case Fault::Kind::OperatorDrains:
            confirm(SetHostState{host, ServiceState::Out, false});
            break;
        case Fault::Kind::OperatorRestores:
            restore();
            break;
        case Fault::Kind::DataCentreOut:
            setDataCentreState(dataCentre, ServiceState::Out);
            break;
        case Fault::Kind::DataCentreIn:
            setDataCentreState(dataCentre, ServiceState::In);
            break;
        default:
            break;
        }
    }

    auto restore() -> void
    {
        for (const auto &[name, host] : Configuration(*m_configuration).hosts) {
            if (host.state != ServiceState::In)
                confirm(SetHostState{name, ServiceState::In, false});
        }
    }

    auto setDataCentreState(const DataCentreName &dataCentre, ServiceState state) -> void
    {
        auto plan =
            planIntent(*m_configuration, SetDataCentreState{dataCentre, state, true}, m_failed);
        if (plan)
            publish(std::move(plan->result), true);
    }

    auto drive(MaintenanceDriver &driver, const ConfigurationPointer &view) -> void
    {
        auto changed = MaintenanceChanged{view, m_failed, {}};
        for (const auto &[id, job] : view->maintenance)
            changed.driven.insert(id);
        step(driver, changed);
        step(driver, MaintenanceTick());
    }

    auto step(MaintenanceDriver &driver, const MaintenanceEvent &event) -> void
    {
        for (const auto &it : driver.step(event, m_now))
            perform(driver, it);
    }

    auto perform(MaintenanceDriver &driver, const MaintenanceAction &action) -> void
    {
        if (const auto *grant = std::get_if<GrantWave>(&action)) {
            if (m_fault != Fault::Kind::GrantLost)
                publish(grant->next, false);
            // A lost grant ends by timeout, which the driver cannot tell from a success.
            step(driver, GrantCompleted());
            return;
        }
        if (const auto *watch = std::get_if<WatchDrain>(&action)) {
            if (m_fault != Fault::Kind::RepliesLost)
                step(driver, HostDrained{watch->job, watch->host});
            return;
        }
        if (const auto *reboot = std::get_if<RebootHost>(&action)) {
            // The platform recognises a repeated operation and ignores it.
            if (m_operations[reboot->host].insert(reboot->job).second)
                ++reboots[reboot->host];
            if (m_fault != Fault::Kind::RepliesLost)
                step(driver, HostRebooted{reboot->job, reboot->host});
        }
    }

    BootTime m_now = BootTime(1h);
    Fault::Kind m_fault = Fault::Kind::None;
    int m_lastIntent = 0;
    HostSet m_failed;
    ConfigurationPointer m_configuration;
    ConfigurationPointer m_driverView;
    ConfigurationPointer m_secondView;
    std::unique_ptr<MaintenanceDriver> m_driver;
    std::unique_ptr<MaintenanceDriver> m_secondDriver;
    std::map<HostName, std::set<IntentId>> m_operations;
};

auto recoverAndFinish(Simulation &simulation) -> void
{
    simulation.run({Fault::Kind::HostRecovers, 0, 0});
    simulation.run({Fault::Kind::OperatorRestores, 0, 0});
    for (auto i = 0; i < 3; ++i)
        simulation.run({Fault::Kind::DataCentreIn, i, 0});
    for (auto i = 0; i < 400 && !simulation.isDone(); ++i)
        simulation.run({Fault::Kind::OperatorRestores, 0, 0});
    simulation.run({Fault::Kind::OperatorRestores, 0, 0});
}

RC_GTEST_PROP(Waves, KeepEveryBudgetAndRebootEveryHostOnceUnderFaults, ())
{
    const auto faults = *rc::gen::container<std::vector<Fault>>(faultGen());
    auto simulation = Simulation({RebootHosts{}});
    for (const auto &it : faults) {
        simulation.run(it);
        RC_ASSERT(!simulation.isBudgetBroken);
        RC_ASSERT(simulation.isEveryHostInOnePool);
    }
    recoverAndFinish(simulation);
    RC_ASSERT(!simulation.isBudgetBroken);
    RC_ASSERT(simulation.isDone());
    RC_ASSERT(simulation.reboots.size() == static_cast<std::size_t>(3 * HostsPerPool));
    for (const auto &[host, n] : simulation.reboots)
        RC_ASSERT(n == 1);
    for (const auto &[name, host] : simulation.configuration().hosts)
        RC_ASSERT(host.state == ServiceState::In);
}

RC_GTEST_PROP(Waves, KeepEveryBudgetWhenIntentsOverlap, ())
{
    const auto faults = *rc::gen::container<std::vector<Fault>>(faultGen());
    auto simulation =
        Simulation({RebootHosts{poolName(0), {}}, GrowPool{poolName(2), HostRole::Target, 2},
                    RebootHosts{{}, DataCentreName("centre-1")}});
    for (const auto &it : faults) {
        simulation.run(it);
        RC_ASSERT(!simulation.isBudgetBroken);
        RC_ASSERT(simulation.isEveryHostInOnePool);
    }
    recoverAndFinish(simulation);
    RC_ASSERT(simulation.isDone());
    RC_ASSERT(!simulation.isBudgetBroken);
    const auto margins = poolMargins(simulation.configuration(), {});
    RC_ASSERT(margins.at(poolName(2)).hosts == static_cast<std::uint32_t>(HostsPerPool + 2));
}

TEST(Waves, TakeAsFewWavesAsTheBudgetsAllow)
{
    const auto plan = planIntent(fleet(), RebootHosts{}, {}, IntentId("a"));
    ASSERT_TRUE(plan.has_value());
    const auto forecast = forecastMaintenance(plan->result, {}, IntentId("a"));
    // A pool that allows one unavailable host needs one wave per host.
    EXPECT_EQ(forecast.waves.size(), static_cast<std::size_t>(HostsPerPool));
    EXPECT_EQ(forecast.minMargin.remaining(), 0);
    EXPECT_TRUE(forecast.blocked.empty());
}

TEST(Waves, CountFailedHostsAgainstTheBudget)
{
    const auto plan = planIntent(fleet(), RebootHosts{poolName(0), {}}, {}, IntentId("a"));
    ASSERT_TRUE(plan.has_value());
    const auto failed = HostSet{hostName(0, 3)};
    // The failed host does not reduce the margin, so it is taken out; no other host may be.
    const auto next = advanceMaintenance(plan->result, failed, {});
    ASSERT_TRUE(next.has_value());
    const auto &active = next->maintenance.at(IntentId("a")).active;
    ASSERT_EQ(active.size(), 1U);
    EXPECT_EQ(active.front().host, hostName(0, 3));
}

TEST(Waves, ReturnAHostToTheStateThatAnOperatorSet)
{
    auto current = fleet();
    current.hosts.at(hostName(0, 0)).state = ServiceState::Out;
    auto plan = planIntent(current, RebootHosts{poolName(0), {}}, {}, IntentId("a"));
    ASSERT_TRUE(plan.has_value());
    const auto out = advanceMaintenance(plan->result, {}, {});
    ASSERT_TRUE(out.has_value());
    const auto back =
        advanceMaintenance(*out, {}, {FinishedHosts{IntentId("a"), {hostName(0, 0)}}});
    ASSERT_TRUE(back.has_value());
    EXPECT_TRUE(back->hosts.at(hostName(0, 0)).state == ServiceState::Out);
}

} // namespace

} // namespace shallotproxy
