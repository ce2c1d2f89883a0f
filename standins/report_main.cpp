#include <fstream>
#include <iostream>

#include <QCoreApplication>
#include <QJsonDocument>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include "fleet_report.hpp"

namespace {

namespace options = boost::program_options;

constexpr double Percent = 100;

auto readEvents(const std::string &path) -> std::vector<QJsonObject>
{
    auto events = std::vector<QJsonObject>();
    auto file = std::ifstream(path);
    for (auto line = std::string(); std::getline(file, line);) {
        const auto event = QJsonDocument::fromJson(QByteArray::fromStdString(line)).object();
        if (!event.isEmpty())
            events.push_back(event);
    }
    return events;
}

auto print(const standin::FleetReport &report) -> void
{
    fmt::print("{:18} {:>6} {:>13} {:>13} {:>14} {:>12}\n", "team", "share", "slot-seconds",
               "in full pools", "gap to share %", "worst 10 s %");
    for (const auto &[name, it] : report.teams) {
        fmt::print("{:18} {:6} {:13.1f} {:13.1f} {:14.1f} {:12.1f}\n", name, it.share,
                   it.usedSlotSeconds, it.entitledSlotSeconds, Percent * it.gap(),
                   Percent * it.worstGap);
    }
    if (report.fullIntervals == 0)
        fmt::print("no pool was ever full\n");
    for (const auto &it : report.absences) {
        fmt::print("{} out and back: {:.1f} % done of what the remaining slots could do "
                   "({:.1f} of {:.1f} slot-seconds); ",
                   it.dataCentre, Percent * it.doneShare(), it.doneSlotSeconds,
                   it.possibleSlotSeconds);
        if (it.fullUseSeconds >= 0) {
            fmt::print("full use {:.1f} s after the return\n", it.fullUseSeconds);
        } else {
            fmt::print("no full use seen after the return\n");
        }
    }
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto app = QCoreApplication(argc, argv);
    auto declarations = std::string();
    auto timeline = std::string();
    auto description = options::options_description("Report of a run from its time line");
    description.add_options()("declarations", options::value(&declarations)->required(),
                              "declarations, a directory or file")(
        "timeline", options::value(&timeline)->required(),
        "output of: shallotctl --output json timeline");
    auto values = options::variables_map();
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &ec) {
        std::cerr << ec.what() << '\n' << description;
        return 2;
    }
    const auto files = shallotproxy::loadDeclarationFiles(declarations);
    if (!files) {
        std::cerr << "unreadable declarations\n";
        return 3;
    }
    const auto configuration = shallotproxy::readDeclarations(*files);
    if (!configuration) {
        std::cerr << "faulty declarations\n";
        return 3;
    }
    print(standin::reportOf(readEvents(timeline), *configuration));
    return 0;
}
