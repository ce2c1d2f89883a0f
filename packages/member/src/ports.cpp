#include "shallotproxy/member/ports.hpp"

namespace shallotproxy {

auto StoreFailure::name() const -> std::string_view
{
    switch (kind) {
    case Kind::Conflict:
        return "store-conflict";
    case Kind::NotDone:
        return "store-call-not-done";
    case Kind::Unknown:
        return "store-outcome-unknown";
    case Kind::HistoryGone:
        return "store-history-gone";
    case Kind::LeaseGone:
        break;
    }
    return "store-lease-gone";
}

auto StoreFailure::message() const -> std::string
{
    return fmt::format("{}: {}", name(), detail);
}

} // namespace shallotproxy
