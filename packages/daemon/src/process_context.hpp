#pragma once

#include "shallotproxy/process.hpp"
#include "shallotproxy/version.hpp"

namespace shallotproxy {

/// State that all duties of this process share. Settings and identity never change; `timeline` and
/// `metrics` are thread-safe.
struct ProcessContext
{
    MemberSettings settings;
    Incarnation self;
    Timeline timeline;
    Metrics metrics;
};

} // namespace shallotproxy
