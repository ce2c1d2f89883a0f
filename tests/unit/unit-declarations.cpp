#include <gtest/gtest.h>

#include "shallotproxy/version.hpp"

namespace shallotproxy {

namespace {

auto errorsOf(const std::string &text) -> InputErrors
{
    const auto files = std::vector<DeclarationFile>{{"fleet.yaml", text}};
    const auto result = readDeclarations(files);
    return result ? InputErrors() : result.error();
}

TEST(Declarations, SuggestTheNearestKeyForAnUnknownOne)
{
    const auto errors = errorsOf("pools:\n  - name: a\n    maxUnavailible: 2\n");
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].kind, InputError::Kind::UnknownKey);
    EXPECT_EQ(errors[0].line, 3);
    EXPECT_NE(errors[0].message().find("did you mean 'maxUnavailable'"), std::string::npos);
}

TEST(Declarations, RejectADuplicateKeyInAMapping)
{
    const auto errors = errorsOf("pools:\n  - name: a\n    maxUnavailable: 2\n    name: b\n");
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].kind, InputError::Kind::Duplicate);
    EXPECT_EQ(errors[0].line, 4);
}

TEST(Declarations, RejectADuplicateHost)
{
    const auto errors = errorsOf(
        "dataCentres: [{name: d}]\npools: [{name: a}, {name: b}]\nhosts:\n"
        "  - {name: h, dataCentre: d, pool: a, address: '127.0.0.1:1', slots: 1, connections: 1}\n"
        "  - {name: h, dataCentre: d, pool: b, address: '127.0.0.1:1', slots: 1, connections: "
        "1}\n");
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].kind, InputError::Kind::Duplicate);
    EXPECT_EQ(errors[0].line, 5);
}

TEST(Declarations, RejectALimitAboveTheCapacityOfTheFleet)
{
    const auto errors = errorsOf(
        "dataCentres: [{name: d}]\npools: [{name: a}]\nhosts:\n"
        "  - {name: h, dataCentre: d, pool: a, address: '127.0.0.1:1', slots: 4, connections: 8}\n"
        "teams: [{name: t, share: 1, limit: 5}]\n");
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].kind, InputError::Kind::Unreachable);
}

} // namespace

} // namespace shallotproxy
