#include <cstdlib>
#include <iostream>
#include <sstream>

#include <QCoreApplication>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include "commands.hpp"

namespace {

using namespace shallotproxy;

namespace options = boost::program_options;

constexpr auto DefaultTimeoutMilliseconds = 15'000;

auto environment(const char *name) -> std::string
{
    const auto *value = std::getenv(name);
    return value == nullptr ? "" : value;
}

auto split(const std::string &list) -> std::vector<std::string>
{
    auto parts = std::vector<std::string>();
    auto stream = std::istringstream(list);
    for (auto part = std::string(); std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

auto printHelp(const options::options_description &description) -> void
{
    std::cout << "shallotctl - drives a fleet capacity and maintenance manager\n\n"
                 "Usage: shallotctl [OPTIONS] COMMAND\n\nCommands:\n";
    for (const auto &it : commands()) {
        std::cout << fmt::format("  {:32} {}\n", fmt::format("{} {}", it.words, it.parameters),
                                 it.summary);
    }
    std::cout
        << '\n'
        << description
        << "\nA planned change is put in force by `intent confirm ID`, or at once by --yes.\n"
           "SHALLOTPROXY_MEMBERS and SHALLOTPROXY_OPERATOR_KEY stand for --members and --key.\n"
           "\nExit codes: 0 done, 1 refused, 2 usage, 3 bad input, 4 no member reachable,\n"
           "5 outcome unknown (ask again with `status` or `intent status ID`).\n";
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto app = QCoreApplication(argc, argv);
    auto members = environment("SHALLOTPROXY_MEMBERS");
    auto key = environment("SHALLOTPROXY_OPERATOR_KEY");
    auto output = std::string();
    auto timeout = 0;
    auto words = std::vector<std::string>();
    auto visible = options::options_description("Options");
    visible.add_options()("help,h", "show this help")("version", "show the version")(
        "members", options::value(&members), "operators' addresses of members, ADDRESS:PORT,...")(
        "key", options::value(&key),
        "operator key")("output", options::value(&output)->default_value("text"), "text or json")(
        "yes", "confirm the plan at once")("may-break-budget",
                                           "plan even if an availability budget breaks")(
        "timeout", options::value(&timeout)->default_value(DefaultTimeoutMilliseconds),
        "longest wait for an answer, in ms");
    auto all = options::options_description();
    all.add(visible).add_options()("words", options::value(&words));
    auto values = options::variables_map();
    try {
        auto positional = options::positional_options_description();
        positional.add("words", -1);
        options::store(
            options::command_line_parser(argc, argv).options(all).positional(positional).run(),
            values);
        options::notify(values);
    } catch (const options::error &ec) {
        std::cerr << "shallotctl: " << ec.what() << '\n';
        return static_cast<int>(ExitCode::Usage);
    }
    if (values.contains("version")) {
        std::cout << "shallotctl " << SHALLOTPROXY_VERSION << '\n';
        return 0;
    }
    const auto *command = findCommand(words);
    if (values.contains("help") || command == nullptr || (output != "text" && output != "json")) {
        printHelp(visible);
        return values.contains("help") ? 0 : static_cast<int>(ExitCode::Usage);
    }
    auto client = OperatorClient(split(members), key, timeout);
    auto context = CommandContext();
    context.client = &client;
    context.output = output == "json" ? OutputFormat::Json : OutputFormat::Text;
    context.isConfirmed = values.contains("yes");
    context.mayBreakBudget = values.contains("may-break-budget");
    const auto parameters = std::span<const std::string>(words).last(command->parameterCount);
    return static_cast<int>(command->run(context, parameters));
}
