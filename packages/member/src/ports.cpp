#include "shallotproxy/member/ports.hpp"

namespace shallotproxy {

auto StoreFailure::name() const -> std::string_view
{
    switch (kind) {
    case Kind::Conflict:
        return "store-conflict";
    case Kind::NotApplied:
        return "store-call-not-done";
    case Kind::Unknown:
        return "store-outcome-unknown";
    case Kind::HistoryCompacted:
        return "store-history-gone";
    case Kind::LeaseExpired:
        break;
    }
    return "store-lease-gone";
}

auto StoreFailure::message() const -> std::string
{
    return fmt::format("{}: {}", name(), detail);
}

} // namespace shallotproxy
