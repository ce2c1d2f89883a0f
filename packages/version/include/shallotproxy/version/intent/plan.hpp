#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "../configuration/configuration.hpp"
#include "../maintenance/budget.hpp"
#include "intent.hpp"
#include "shallotproxy/process/base/error.hpp"

namespace shallotproxy {

/// Why an intent could not be planned or applied.
struct IntentError
{
    enum class Kind {
        UnknownSubject = 601,
        Stale = 602,
        BreaksBudget = 603,
        NothingToDo = 604,
        UnknownIntent = 605,
        Malformed = 606,
        NotApplied = 607,
        OutcomeUnknown = 608,
        NotFresh = 609,
    };

    Kind kind = Kind::Malformed;
    std::string subject;
    std::string detail;

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string;
};

/// The effects of an intent if it is confirmed, computed from one version of the configuration.
struct Plan
{
    IntentId id;
    ConfigurationVersion baseVersion = 0;
    std::vector<std::string> changes; // one line each, shown to the operator
    std::vector<std::string> warnings;
    Configuration result;
};

/// Plans an intent against a configuration and the hosts that have failed. `id` identifies the
/// plan; if empty, a new one is generated. Errors: unknown subject, nothing to do, a budget that
/// the intent would break without `mayBreakBudget`. O(hosts), with maintenance O(waves * hosts).
auto planIntent(const Configuration &current, const Intent &intent, const HostSet &failed = {},
                const IntentId &id = {}) -> Expected<Plan, IntentError>;

/// Returns the differences from one configuration to another, one line each.
auto describeChanges(const Configuration &from, const Configuration &to)
    -> std::vector<std::string>;

} // namespace shallotproxy
