#include <algorithm>
#include <iostream>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include "maintenance_simulation.hpp"

namespace {

using namespace shallotproxy;
using namespace shallotproxy::bench;

namespace options = boost::program_options;

constexpr double FailingFraction = 0.02; // of all hosts; they fail by themselves
constexpr std::uint32_t FirstSeed = 1;

/// One measured value per seed.
struct Samples
{
    std::vector<double> values;

    /// Returns the mean, the minimum and the maximum.
    [[nodiscard]] auto text() const -> std::string
    {
        auto sum = 0.0;
        for (const auto it : values)
            sum += it;
        const auto [low, high] = std::ranges::minmax_element(values);
        return fmt::format("{:.3f} ({:.3f} to {:.3f})", sum / static_cast<double>(values.size()),
                           *low, *high);
    }
};

/// Results of one scenario over all seeds.
struct Row
{
    Samples rollOut; // roll-out time, relative to the lower bound
    Samples buffer; // host-seconds out of service, relative to the host-seconds needed
    Samples moves; // hosts taken out, relative to the minimum
    Samples baseline; // time with one host at a time, relative to the lower bound
    std::size_t brokenBudgets = 0;
};

/// Returns the seconds for one host at a time, with the same waits until a version is in force and
/// until the host has drained.
auto oneAtATime(const Configuration &configuration, const HostNeeds &needs, const IntentId &job)
    -> double
{
    constexpr double MinWaitSeconds = 7.5; // publish, wait until in force, and query the members
    const auto &maintenanceJob = configuration.maintenance.at(job);
    auto seconds = 0.0;
    for (const auto &name : maintenanceJob.waiting) {
        const auto &need = needs.at(name);
        const auto reboot = maintenanceJob.kind == MaintenanceKind::Reboot ? need.rebootSeconds : 0;
        seconds += std::max(MinWaitSeconds, need.drainSeconds) + reboot;
    }
    return seconds;
}

auto measure(const Configuration &configuration, const Intent &intent, DrainRule drainRule,
             int seeds) -> Row
{
    auto row = Row();
    const auto job = IntentId("bench");
    for (auto i = 0; i < seeds; ++i) {
        const auto seed = FirstSeed + static_cast<std::uint32_t>(i);
        const auto plan = planIntent(configuration, intent, {}, job);
        if (!plan) {
            std::cerr << plan.error().message() << '\n';
            return row;
        }
        const auto needs = drawNeeds(configuration, seed);
        auto simulation =
            MaintenanceSimulation(plan->result, needs, drainRule, FailingFraction, seed);
        const auto outcome = simulation.run(job);
        row.rollOut.values.push_back(outcome.rollOutSeconds / outcome.lowerBoundSeconds);
        row.buffer.values.push_back(outcome.outSeconds / outcome.neededSeconds);
        row.moves.values.push_back(static_cast<double>(outcome.moves)
                                   / static_cast<double>(outcome.minMoves));
        row.baseline.values.push_back(oneAtATime(plan->result, needs, job)
                                      / outcome.lowerBoundSeconds);
        row.brokenBudgets += outcome.brokenBudgets;
    }
    return row;
}

/// Measures a data centre or pool that is taken out in one version. The roll-out ends when its last
/// work has ended.
auto measureOut(const Configuration &configuration, const Intent &intent, int seeds) -> Row
{
    constexpr double InForceSeconds = 3;
    auto row = Row();
    const auto plan = planIntent(configuration, intent);
    if (!plan) {
        std::cerr << plan.error().message() << '\n';
        return row;
    }
    for (auto i = 0; i < seeds; ++i) {
        const auto needs = drawNeeds(configuration, FirstSeed + static_cast<std::uint32_t>(i));
        auto maxDrainSeconds = 0.0;
        auto totalDrainSeconds = 0.0;
        auto outHostSeconds = 0.0;
        auto count = 0.0;
        for (const auto &[name, host] : configuration.hosts) {
            if (plan->result.acceptsWork(plan->result.hosts.at(name)))
                continue;
            const auto drain = needs.at(name).drainSeconds;
            maxDrainSeconds = std::max(maxDrainSeconds, drain);
            totalDrainSeconds += drain;
            outHostSeconds += drain + InForceSeconds;
            ++count;
        }
        row.rollOut.values.push_back((maxDrainSeconds + InForceSeconds) / maxDrainSeconds);
        row.buffer.values.push_back(outHostSeconds / totalDrainSeconds);
        row.moves.values.push_back(1);
        row.baseline.values.push_back((totalDrainSeconds + count * InForceSeconds)
                                      / maxDrainSeconds);
    }
    return row;
}

auto print(std::string_view deployment, std::string_view scenario, const Row &row) -> void
{
    if (row.rollOut.values.empty())
        return;
    fmt::print("| {} | {} | {} | {} | {} | {} | {} |\n", deployment, scenario, row.rollOut.text(),
               row.baseline.text(), row.buffer.text(), row.moves.text(), row.brokenBudgets);
}

auto measureAll(const std::string &name, const std::string &folder, DrainRule drainRule, int seeds)
    -> int
{
    const auto files = loadDeclarationFiles(folder);
    const auto configuration = files
        ? readDeclarations(*files)
        : tl::expected<Configuration, InputErrors>(tl::unexpected(files.error()));
    if (!configuration) {
        std::cerr << configuration.error().front().message() << '\n';
        return 1;
    }
    const auto &dataCentre = configuration->dataCentres.begin()->first;
    const auto &pool = configuration->pools.begin()->first;
    print(name, "all hosts rebooted", measure(*configuration, RebootHosts{}, drainRule, seeds));
    print(name, "one data centre rebooted",
          measure(*configuration, RebootHosts{{}, dataCentre}, drainRule, seeds));
    print(name, "one pool rebooted",
          measure(*configuration, RebootHosts{pool, {}}, drainRule, seeds));
    print(name, "pool grown by 3 targets",
          measure(*configuration, GrowPool{pool, HostRole::Target, 3}, drainRule, seeds));
    print(
        name, "one data centre out at once",
        measureOut(*configuration, SetDataCentreState{dataCentre, ServiceState::Out, true}, seeds));
    print(name, "one pool drained at once",
          measureOut(*configuration, SetPoolState{pool, ServiceState::Leaving, true}, seeds));
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto examples = std::string("examples");
    auto seeds = 5;
    auto isReported = true;
    auto description = options::options_description("Measures maintenance in its own time");
    description.add_options()("examples", options::value(&examples), "folder of the deployments")(
        "seeds", options::value(&seeds), "number of seeds, from 1")(
        "reported", options::value(&isReported), "members report empty targets (1), or 0");
    auto values = options::variables_map();
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &ec) {
        std::cerr << ec.what() << '\n' << description;
        return 2;
    }
    const auto drainRule = isReported ? DrainRule::Reported : DrainRule::Deadline;
    fmt::print("| deployment | scenario | roll-out over bound | one host at a time over bound | "
               "buffer cost | moves over fewest | budgets broken |\n"
               "| --- | --- | --- | --- | --- | --- | --- |\n");
    auto status = 0;
    for (const auto *it : {"blyglass", "kragenwerk"})
        status |= measureAll(it, examples + "/" + it + "/declarations", drainRule, seeds);
    return status;
}
