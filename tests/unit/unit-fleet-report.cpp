#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "../../standins/fleet_report.hpp"

namespace standin {

namespace {

using namespace Qt::StringLiterals;

using Values = std::map<std::string, double>;

constexpr double Epsilon = 1e-6;

auto randomValues(int limit) -> Values
{
    auto values = Values();
    const auto count = *rc::gen::inRange(1, 6);
    for (auto i = 0; i < count; ++i)
        values[fmt::format("team-{}", i)] = *rc::gen::inRange(1, limit);
    return values;
}

RC_GTEST_PROP(FleetReport, DividesAllSlotsAndGrantsNoTeamMoreThanItsDemand, ())
{
    const auto demands = randomValues(50);
    const auto weights = randomValues(10);
    const auto slots = static_cast<double>(*rc::gen::inRange(0, 100));
    auto granted = 0.0;
    auto demanded = 0.0;
    for (const auto &[name, teamSlots] : divideByWeight(slots, demands, weights)) {
        RC_ASSERT(teamSlots <= demands.at(name) + Epsilon);
        granted += teamSlots;
        demanded += demands.at(name);
    }
    RC_ASSERT(std::abs(granted - std::min(slots, demanded)) < Epsilon);
}

RC_GTEST_PROP(FleetReport, GrantsTeamsWithUnmetDemandTheSamePerUnitOfShare, ())
{
    const auto demands = randomValues(50);
    const auto weights = randomValues(10);
    const auto granted = divideByWeight(20, demands, weights);
    const auto weightOf = [&weights](const std::string &name) {
        return weights.contains(name) ? weights.at(name) : 1.0;
    };
    for (const auto &[a, x] : granted) {
        for (const auto &[b, y] : granted) {
            if (x < demands.at(a) - Epsilon && y < demands.at(b) - Epsilon) {
                RC_ASSERT(std::abs(x / weightOf(a) - y / weightOf(b)) < Epsilon);
            }
        }
    }
}

auto event(double seconds, const QString &kind, const QString &subject,
           const QJsonObject &attributes) -> QJsonObject
{
    return {{u"bootNs"_s, static_cast<qint64>(seconds * 1e9)},
            {u"kind"_s, kind},
            {u"subject"_s, subject},
            {u"attributes"_s, attributes}};
}

/// Returns a configuration of one pool with one slot in each of two data centres.
auto smallFleet() -> shallotproxy::Configuration
{
    const auto text = "dataCentres: [{name: north}, {name: south}]\n"
                      "pools: [{name: main, maxUnavailable: 1}]\nhosts:\n"
                      "  - {name: a, dataCentre: north, rack: r, pool: main, "
                      "address: '127.0.0.1:1', slots: 1, connections: 4}\n"
                      "  - {name: b, dataCentre: south, rack: r, pool: main, "
                      "address: '127.0.0.1:2', slots: 1, connections: 4}\n"
                      "teams: [{name: red, share: 1, limit: 2}, {name: blue, share: 1, limit: 2}]\n"
                      "queues: [{name: orders, pool: main}]\n";
    const auto files = std::vector<shallotproxy::DeclarationFile>{{"small.yaml", text}};
    return shallotproxy::readDeclarations(files).value();
}

TEST(FleetReport, ReportsTheGapOfATeamThatGetsNothingOfAFullPool)
{
    const auto arrive = [](double at, const QString &id, const QString &team) {
        return event(at, u"request.arrive"_s, id, {{u"queue"_s, u"orders"_s}, {u"team"_s, team}});
    };
    auto events = std::vector<QJsonObject>();
    for (const auto *id : {"1", "2"}) {
        const auto name = QString::fromLatin1(id);
        events.push_back(arrive(0, name, u"red"_s));
        events.push_back(event(0, u"request.start"_s, name, {{u"dataCentre"_s, u"north"_s}}));
    }
    events.push_back(arrive(0, u"3"_s, u"blue"_s));
    for (const auto *id : {"1", "2", "3"})
        events.push_back(event(4, u"request.end"_s, QString::fromLatin1(id), {}));
    const auto report = reportOf(events, smallFleet());
    EXPECT_NEAR(report.teams.at("blue").gap(), 1, Epsilon);
    EXPECT_NEAR(report.teams.at("blue").entitledSlotSeconds, 4, Epsilon);
    EXPECT_NEAR(report.teams.at("red").usedSlotSeconds, 8, Epsilon);
    EXPECT_NEAR(report.teams.at("red").gap(), 0, Epsilon);
}

TEST(FleetReport, MeasuresTheWorkDoneWhileADataCentreIsOut)
{
    const auto change = [](double at, const QString &kind, const QString &state) {
        return event(at, kind, u"i"_s,
                     {{u"what"_s, u"data-centre"_s}, {u"name"_s, u"south"_s}, {u"state"_s, state}});
    };
    auto events = std::vector<QJsonObject>();
    events.push_back(change(0, u"intent.applied"_s, u"out"_s));
    events.push_back(
        event(0, u"request.arrive"_s, u"1"_s, {{u"queue"_s, u"orders"_s}, {u"team"_s, u"red"_s}}));
    events.push_back(event(1, u"request.start"_s, u"1"_s, {{u"dataCentre"_s, u"north"_s}}));
    events.push_back(event(4, u"request.end"_s, u"1"_s, {}));
    events.push_back(change(4, u"intent.confirm"_s, u"in"_s));
    const auto report = reportOf(events, smallFleet());
    ASSERT_EQ(report.absences.size(), 1U);
    EXPECT_NEAR(report.absences.front().doneShare(), 0.75, Epsilon);
}

} // namespace

} // namespace standin
