#include <chrono>
#include <map>
#include <optional>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/request.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t Slots = 2;
const auto poolName = PoolName("main");
const auto red = TeamName("red");
const auto redKey = KeyName("red-key");

auto makeHost(const char *name, const char *dataCentre) -> Host
{
    auto host = Host();
    host.name = HostName(name);
    host.dataCentre = DataCentreName(dataCentre);
    host.pool = poolName;
    host.slots = Slots;
    return host;
}

auto makeConfiguration() -> Configuration
{
    auto configuration = Configuration();
    configuration.version = 1;
    for (const auto *name : {"north", "south"}) {
        const auto key = DataCentreName(name);
        configuration.dataCentres[key] = {key, ServiceState::In};
    }
    for (const auto &host : {makeHost("a", "north"), makeHost("b", "north"), makeHost("c", "south"),
                             makeHost("d", "south")})
        configuration.hosts[host.name] = host;
    configuration.pools[poolName] = {poolName, 1};
    configuration.teams[red] = {red, 1, 8, {{redKey, "digest"}}};
    auto orders = Queue();
    orders.name = QueueName("orders");
    orders.pool = poolName;
    orders.capacity = 5;
    auto quotes = orders;
    quotes.name = QueueName("quotes");
    quotes.isUrgent = true;
    quotes.isIdempotent = true;
    auto open = orders;
    open.name = QueueName("open");
    open.isOpen = true;
    for (const auto &queue : {orders, quotes, open})
        configuration.queues[queue.name] = queue;
    return configuration;
}

/// One generated step: the kind of event, and a number that selects its subject.
struct Step
{
    int kind = 0;
    unsigned choice = 0;
};

auto showValue(const Step &step, std::ostream &stream) -> void
{
    stream << step.kind << '/' << step.choice;
}

auto genSteps() -> rc::Gen<std::vector<Step>>
{
    return rc::gen::container<std::vector<Step>>(
        rc::gen::construct<Step>(rc::gen::inRange(0, 18), rc::gen::inRange(0U, 1'000U)));
}

/// Drives a Dispatcher through a schedule and checks every action against a model of its own.
struct DispatchChecker
{
    DispatchChecker()
    {
        configuration = makeConfiguration();
        apply(ConfigurationChanged{std::make_shared<const Configuration>(configuration)});
        freshUntil = now + 10s;
        apply(FreshnessChanged{freshUntil});
        credits = {{TeamName(), 8}, {red, 8}};
        apply(CreditsChanged{poolName, credits});
        units = {{red, 8}};
        apply(UnitsChanged{units});
    }

    auto run(const Step &step) -> void
    {
        switch (step.kind) {
        case 0:
        case 1:
        case 2:
        case 3:
            arrive(step.choice);
            break;
        case 4:
        case 5:
            end(step.choice, [this](RequestNumber it) { apply(RequestFinished{it, false}); });
            break;
        case 6:
            end(step.choice, [this](RequestNumber it) { apply(RequestFinished{it, true}); });
            break;
        case 7:
        case 8:
            fail(step.choice);
            break;
        case 9:
            failToSend(step.choice);
            break;
        case 10:
            disconnectCaller(step.choice);
            break;
        case 11:
            now += std::chrono::milliseconds(step.choice * 3);
            apply(DispatchTick());
            break;
        case 12:
            freshUntil = step.choice % 4 == 0 ? now : now + 5s;
            apply(FreshnessChanged{freshUntil});
            break;
        case 13:
            credits[step.choice % 2 == 0 ? red : TeamName()] = step.choice % 7;
            apply(CreditsChanged{poolName, credits});
            break;
        case 14:
            units[red] = step.choice % 7;
            apply(UnitsChanged{units});
            break;
        case 15:
        case 16:
            reconfigure(step.choice);
            break;
        default:
            apply(TargetProbed{HostName(std::string(1, "abcd"[step.choice % 4])),
                               step.choice % 3 != 0});
        }
    }

    /// Drains the dispatcher: waiting requests are refused or abandoned and running ones finish.
    auto finishAll() -> void
    {
        isDraining = true;
        apply(DrainStarted());
        while (!running.empty())
            end(0, [this](RequestNumber it) { apply(RequestFinished{it, false}); });
        apply(DispatchTick());
        RC_ASSERT(dispatcher.openRequests() == 0U);
        RC_ASSERT(waiting.empty());
    }

    struct TrackedRequest
    {
        QueueName queue;
        TeamName team;
        KeyName key;
        HostName host;
        bool mayHaveRun = false;
        BootTime deadline;
    };

    auto arrive(unsigned choice) -> void
    {
        const auto number = ++lastNumber;
        auto tracked = TrackedRequest();
        tracked.queue = QueueName(choice % 3 == 0 ? "orders" : choice % 3 == 1 ? "quotes" : "open");
        if (choice % 3 != 2 || choice % 2 == 0) {
            tracked.team = red;
            tracked.key = redKey;
        }
        tracked.deadline = now + 2s;
        waiting.emplace(number, tracked);
        apply(RequestArrived{number, tracked.queue, tracked.team, tracked.deadline, tracked.key});
    }

    template <typename Function>
    auto end(unsigned choice, Function &&function) -> void
    {
        if (running.empty())
            return;
        const auto it =
            std::next(running.begin(), static_cast<std::ptrdiff_t>(choice % running.size()));
        const auto number = it->first;
        running.erase(it);
        function(number);
    }

    auto fail(unsigned choice) -> void
    {
        if (running.empty())
            return;
        const auto it =
            std::next(running.begin(), static_cast<std::ptrdiff_t>(choice % running.size()));
        const auto number = it->first;
        auto node = running.extract(it);
        node.mapped().mayHaveRun = true;
        waiting.insert(std::move(node));
        apply(RequestFailed{number, choice % 2 == 0});
        const auto waitingAgain = waiting.find(number);
        RC_ASSERT(waitingAgain == waiting.end()
                  || waitingAgain->second.queue == QueueName("quotes"));
    }

    auto failToSend(unsigned choice) -> void
    {
        if (running.empty())
            return;
        const auto it =
            std::next(running.begin(), static_cast<std::ptrdiff_t>(choice % running.size()));
        const auto number = it->first;
        waiting.insert(running.extract(it));
        apply(RequestNotSent{number, choice % 2 == 0});
    }

    auto disconnectCaller(unsigned choice) -> void
    {
        if (waiting.empty())
            return;
        const auto it =
            std::next(waiting.begin(), static_cast<std::ptrdiff_t>(choice % waiting.size()));
        const auto number = it->first;
        waiting.erase(it);
        apply(CallerDisconnected{number});
    }

    auto reconfigure(unsigned choice) -> void
    {
        ++configuration.version;
        const auto state = static_cast<ServiceState>(choice / 10 % 3);
        switch (choice % 3) {
        case 0:
            configuration.dataCentres[DataCentreName("north")].state = state;
            break;
        case 1:
            configuration.hosts[HostName("c")].state = state;
            break;
        default:
            configuration.teams[red].keys.clear();
            if (choice % 2 == 0)
                configuration.teams[red].keys.push_back({redKey, "digest"});
        }
        apply(ConfigurationChanged{std::make_shared<const Configuration>(configuration)});
    }

    auto apply(const DispatchEvent &event) -> void
    {
        for (const auto &action : dispatcher.step(event, now))
            std::visit([this](const auto &it) { check(it); }, action);
    }

    auto check(const StartRequest &action) -> void
    {
        auto node = waiting.extract(action.number);
        RC_ASSERT(!node.empty());
        auto &tracked = node.mapped();
        RC_ASSERT(!isDraining);
        RC_ASSERT(now < freshUntil);
        const auto &host = configuration.hosts.at(action.host);
        RC_ASSERT(host.state == ServiceState::In);
        RC_ASSERT(configuration.dataCentres.at(host.dataCentre).state == ServiceState::In);
        RC_ASSERT(countRunning([&](const TrackedRequest &it) { return it.host == host.name; })
                  < Slots);
        const auto ofTeam =
            countRunning([&](const TrackedRequest &it) { return it.team == tracked.team; });
        RC_ASSERT(ofTeam < credits[tracked.team]);
        RC_ASSERT(tracked.team.isEmpty() || ofTeam < units[tracked.team]);
        RC_ASSERT(tracked.team.isEmpty() || !configuration.teams.at(red).keys.empty());
        // A request that may have run is retried only on a queue of idempotent requests.
        RC_ASSERT(!tracked.mayHaveRun || tracked.queue == QueueName("quotes"));
        tracked.host = action.host;
        running.insert(std::move(node));
    }

    auto check(const RefuseRequest &action) -> void
    {
        const auto node = waiting.extract(action.number);
        RC_ASSERT(!node.empty());
        RC_ASSERT(!node.mapped().mayHaveRun);
    }

    auto check(const AbandonRequest &action) -> void
    {
        const auto node = waiting.extract(action.number);
        RC_ASSERT(!node.empty());
        RC_ASSERT(node.mapped().mayHaveRun);
    }

    template <typename Predicate>
    auto countRunning(Predicate &&predicate) const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(std::ranges::count_if(
            running, [&predicate](const auto &it) { return predicate(it.second); }));
    }

    Dispatcher dispatcher;
    Configuration configuration;
    BootTime now = BootTime(1'000s);
    BootTime freshUntil;
    bool isDraining = false;
    std::map<TeamName, std::uint32_t> credits;
    std::map<TeamName, std::uint32_t> units;
    RequestNumber lastNumber = 0;
    std::map<RequestNumber, TrackedRequest> waiting;
    std::map<RequestNumber, TrackedRequest> running;
};

RC_GTEST_PROP(Dispatcher, RespectsAllLimitsAndEndsEveryRequestOnce, ())
{
    const auto steps = *rc::gen::scale(6.0, genSteps());
    auto checker = DispatchChecker();
    for (const auto &step : steps)
        checker.run(step);
    checker.finishAll();
}

/// A dispatcher with one team whose credits and units are never used up.
struct UnlimitedDispatcher
{
    explicit UnlimitedDispatcher(const Configuration &configuration)
    {
        step(ConfigurationChanged{std::make_shared<const Configuration>(configuration)});
        step(FreshnessChanged{now + 1h});
        step(CreditsChanged{poolName, {{red, 1'000}}});
        step(UnitsChanged{{{red, 1'000}}});
    }

    auto step(const DispatchEvent &event) -> std::vector<DispatchAction>
    {
        return dispatcher.step(event, now);
    }

    auto arrive(const char *queue, Duration deadline = 8s) -> std::vector<DispatchAction>
    {
        return step(RequestArrived{++lastNumber, QueueName(queue), red, now + deadline, redKey});
    }

    Dispatcher dispatcher;
    BootTime now = BootTime(1'000s);
    RequestNumber lastNumber = 0;
};

/// Returns the host on which the last of these actions starts a request, or no value if none does.
auto startedOn(const std::vector<DispatchAction> &actions) -> std::optional<HostName>
{
    auto host = std::optional<HostName>();
    for (const auto &action : actions) {
        if (const auto *start = std::get_if<StartRequest>(&action))
            host = start->host;
    }
    return host;
}

TEST(Dispatcher, SendsLessWorkToATargetThatFailsFast)
{
    auto unlimited = UnlimitedDispatcher(makeConfiguration());
    auto startsOnFaulty = 0;
    for (auto i = 0; i < 400; ++i) {
        unlimited.now += 20ms;
        unlimited.step(DispatchTick());
        const auto host = startedOn(unlimited.arrive("orders"));
        ASSERT_TRUE(host.has_value());
        const auto isFaulty = *host == HostName("a");
        startsOnFaulty += isFaulty ? 1 : 0;
        unlimited.step(RequestFinished{unlimited.lastNumber, isFaulty});
    }
    // 400 requests in 8 s over 4 targets; an even share would be 100.
    EXPECT_LE(startsOnFaulty, 6);
}

TEST(Dispatcher, UsesEjectedTargetsAgainWhenAllFail)
{
    auto unlimited = UnlimitedDispatcher(makeConfiguration());
    for (auto i = 0; i < 40; ++i) {
        const auto host = startedOn(unlimited.arrive("orders"));
        ASSERT_TRUE(host.has_value())
            << "correlated failures must not empty the pool; no target for request " << i;
        unlimited.step(RequestFinished{unlimited.lastNumber, true});
    }
}

TEST(Dispatcher, RetriesAnIdempotentRequestOnAnotherTarget)
{
    auto unlimited = UnlimitedDispatcher(makeConfiguration());
    const auto first = startedOn(unlimited.arrive("quotes"));
    const auto second = startedOn(unlimited.step(RequestFailed{unlimited.lastNumber, true}));
    ASSERT_TRUE(first && second);
    EXPECT_NE(*first, *second);
}

// A request that crashes its targets would end the requests beside it on target after target.
TEST(Dispatcher, GivesUpARequestUnderWhichTwoTargetsHaveFailed)
{
    auto unlimited = UnlimitedDispatcher(makeConfiguration());
    // Fills the budget of retries.
    for (auto i = 0; i < 100; ++i) {
        unlimited.arrive("quotes");
        unlimited.step(RequestFinished{unlimited.lastNumber, false});
    }
    unlimited.arrive("quotes");
    EXPECT_TRUE(startedOn(unlimited.step(RequestFailed{unlimited.lastNumber, true})));
    const auto actions = unlimited.step(RequestFailed{unlimited.lastNumber, true});
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<AbandonRequest>(actions[0]));
}

// A connection that went silent is no evidence that the request crashed its target.
TEST(Dispatcher, RetriesARequestWhoseConnectionsWereUnresponsive)
{
    auto unlimited = UnlimitedDispatcher(makeConfiguration());
    for (auto i = 0; i < 100; ++i) {
        unlimited.arrive("quotes");
        unlimited.step(RequestFinished{unlimited.lastNumber, false});
    }
    unlimited.arrive("quotes", 60s);
    for (auto i = 0; i < 3; ++i) {
        unlimited.step(RequestFailed{unlimited.lastNumber, false});
        unlimited.now += 2s;
        EXPECT_TRUE(startedOn(unlimited.step(DispatchTick())) || i == 0);
    }
}

TEST(Dispatcher, NeverRetriesANonIdempotentRequestThatMayHaveRun)
{
    auto unlimited = UnlimitedDispatcher(makeConfiguration());
    unlimited.arrive("orders");
    const auto actions = unlimited.step(RequestFailed{unlimited.lastNumber, true});
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<AbandonRequest>(actions[0]));
}

TEST(Dispatcher, RefusesRequestsThatCannotBeAnsweredInTime)
{
    auto unlimited = UnlimitedDispatcher(makeConfiguration());
    constexpr auto RunTime = 400ms;
    for (std::size_t i = 0; i < RecentRunTimes::SampleCount; ++i) {
        ASSERT_TRUE(startedOn(unlimited.arrive("orders", 8s)));
        unlimited.now += RunTime;
        unlimited.step(RequestFinished{unlimited.lastNumber, false});
    }
    EXPECT_TRUE(startedOn(unlimited.arrive("orders", RunTime)));
    const auto actions = unlimited.arrive("orders", RunTime - 1ms);
    ASSERT_EQ(actions.size(), 1U);
    const auto *refused = std::get_if<RefuseRequest>(&actions[0]);
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->refusal.kind, Refusal::Kind::DeadlinePassed);
}

TEST(Dispatcher, CountsAnUnansweredRunUntilItMustHaveEnded)
{
    auto unlimited = UnlimitedDispatcher(makeConfiguration());
    const auto maxRunTime = std::chrono::milliseconds(
        makeConfiguration().queues.at(QueueName("orders")).deadlineMilliseconds);
    ASSERT_TRUE(startedOn(unlimited.arrive("orders", 100ms)));
    unlimited.now += 100ms;
    unlimited.step(RequestFailed{unlimited.lastNumber, false});
    unlimited.now += maxRunTime - 101ms;
    unlimited.step(DispatchTick());
    EXPECT_EQ(unlimited.dispatcher.runningOf(red), 1U);
    unlimited.now += 1ms;
    unlimited.step(DispatchTick());
    EXPECT_EQ(unlimited.dispatcher.runningOf(red), 0U);
}

TEST(Dispatcher, LimitsRetriesToTheirBudgetWhenEverythingFails)
{
    auto unlimited = UnlimitedDispatcher(makeConfiguration());
    auto starts = 0;
    constexpr auto Requests = 500;
    for (auto i = 0; i < Requests; ++i) {
        auto actions = unlimited.arrive("quotes", 1h);
        while (startedOn(actions)) {
            ++starts;
            actions = unlimited.step(RequestFailed{unlimited.lastNumber, false});
            unlimited.now += 2s;
            if (actions.empty())
                actions = unlimited.step(DispatchTick());
        }
    }
    EXPECT_LE(starts, Requests + Requests / 10 + static_cast<int>(RetryBudget::MaxTokens));
}

TEST(Dispatcher, StartsNothingOnATargetWhoseProbeFailed)
{
    auto unlimited = UnlimitedDispatcher(makeConfiguration());
    unlimited.step(TargetProbed{HostName("a"), false});
    for (auto i = 0; i < 6; ++i)
        EXPECT_NE(startedOn(unlimited.arrive("orders")), HostName("a"));
}

TEST(Dispatcher, DelaysRetriesWhileATargetRefusesConnections)
{
    auto configuration = makeConfiguration();
    std::erase_if(configuration.hosts, [](const auto &it) { return it.first != HostName("a"); });
    auto unlimited = UnlimitedDispatcher(configuration);
    unlimited.arrive("orders");
    auto starts = 1;
    for (auto i = 0; i < 1'000; ++i) {
        unlimited.now += 1ms;
        starts += startedOn(unlimited.step(RequestNotSent{1, true})) ? 1 : 0;
        starts += startedOn(unlimited.step(DispatchTick())) ? 1 : 0;
    }
    EXPECT_GE(starts, 4);
    EXPECT_LE(starts, 8) << "a target that refuses at once must not be retried in a busy loop";
}

TEST(Dispatcher, RefusesWaitingRequestsWhenTheirKeyIsWithdrawn)
{
    auto configuration = makeConfiguration();
    auto unlimited = UnlimitedDispatcher(configuration);
    unlimited.step(UnitsChanged{{{red, 0}}});
    EXPECT_TRUE(unlimited.arrive("orders").empty());
    configuration.teams[red].keys.clear();
    const auto actions =
        unlimited.step(ConfigurationChanged{std::make_shared<const Configuration>(configuration)});
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<RefuseRequest>(actions[0]).refusal.kind, Refusal::Kind::BadKey);
}

TEST(Dispatcher, StartsNothingInALeavingDataCentreAndLetsItsRequestsFinish)
{
    auto configuration = makeConfiguration();
    auto unlimited = UnlimitedDispatcher(configuration);
    for (auto i = 0; i < 4; ++i)
        unlimited.arrive("orders");
    configuration.dataCentres[DataCentreName("north")].state = ServiceState::Leaving;
    unlimited.step(ConfigurationChanged{std::make_shared<const Configuration>(configuration)});
    for (auto i = 0; i < 2; ++i) {
        const auto host = startedOn(unlimited.arrive("orders"));
        ASSERT_TRUE(host.has_value());
        EXPECT_EQ(configuration.hosts.at(*host).dataCentre, DataCentreName("south"));
    }
    EXPECT_EQ(unlimited.dispatcher.runningOf(red), 6U);
    for (RequestNumber it = 1; it <= 6; ++it)
        unlimited.step(RequestFinished{it, false});
    EXPECT_EQ(unlimited.dispatcher.runningOf(red), 0U);
}

} // namespace

} // namespace shallotproxy
