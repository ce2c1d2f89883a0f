#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "shallotproxy/connection.hpp"
#include "shallotproxy/process.hpp"
#include "shallotproxy/request.hpp"
#include "shallotproxy/version.hpp"

namespace shallotproxy {

namespace {

auto errorsPage() -> std::string
{
    auto file = std::ifstream(SHALLOTPROXY_SOURCE "/docs/ERRORS.md");
    auto text = std::ostringstream();
    text << file.rdbuf();
    return text.str();
}

/// Checks that each error number from `first` to `last` has a line with its name on the page.
template <typename Error>
auto expectDocumented(const std::string &page, int first, int last) -> void
{
    for (auto number = first; number <= last; ++number) {
        auto error = Error();
        error.kind = static_cast<typename Error::Kind>(number);
        const auto line = fmt::format("| {} | {} |", number, error.name());
        EXPECT_NE(page.find(line), std::string::npos) << line;
    }
}

TEST(Errors, AreAllDocumented)
{
    const auto page = errorsPage();
    expectDocumented<InputError>(page, 101, 109);
    expectDocumented<Refusal>(page, 201, 213);
    expectDocumented<HttpError>(page, 301, 306);
    expectDocumented<ListenError>(page, 311, 312);
    expectDocumented<TargetError>(page, 321, 327);
    expectDocumented<StoreError>(page, 401, 404);
    expectDocumented<PeerError>(page, 501, 504);
    expectDocumented<IntentError>(page, 601, 609);
    expectDocumented<TaskError>(page, 801, 807);
    expectDocumented<PlatformError>(page, 811, 814);
}

} // namespace

} // namespace shallotproxy
