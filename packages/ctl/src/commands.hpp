#pragma once

#include <span>
#include <string>
#include <string_view>

#include "operator_client.hpp"

namespace shallotproxy {

enum class ExitCode {
    Done = 0,
    Refused = 1,
    Usage = 2,
    BadInput = 3,
    Unreachable = 4,
    OutcomeUnknown = 5,
};

enum class OutputFormat { Text, Json };

struct CommandContext
{
    OperatorClient *client = nullptr;
    OutputFormat output = OutputFormat::Text;
    bool isConfirmed = false; // --yes: the plan is confirmed at once
    bool mayBreakBudget = false; // --may-break-budget: plan even if a budget breaks
};

/// One command of the command line, such as `config check DIR`.
struct Command
{
    std::string_view words; // the fixed words, separated by spaces
    std::string_view parameters; // shown in the help, such as `TEAM KEY`
    std::size_t parameterCount;
    std::string_view summary;
    auto(*run)(const CommandContext &context, std::span<const std::string> parameters) -> ExitCode;
};

/// Returns all commands, in the order of the help.
auto commands() -> std::span<const Command>;

/// Returns the command that `words` (fixed words, then parameters) name; null if there is none.
auto findCommand(std::span<const std::string> words) -> const Command *;

} // namespace shallotproxy
