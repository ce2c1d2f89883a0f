#pragma once

#include <string_view>

#include <QByteArray>

#include "intent.hpp"
#include "plan.hpp"

namespace shallotproxy {

/// Parses an intent in the JSON form that operators send; docs/OPERATORS.md lists the members of
/// each kind.
auto parseIntent(const QByteArray &json) -> Expected<Intent, IntentError>;

} // namespace shallotproxy
