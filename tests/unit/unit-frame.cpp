#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/process.hpp"

namespace shallotproxy {

namespace {

constexpr auto Secret = "a secret of the peers";

RC_GTEST_PROP(Frame, ComesBackAsItWasSent, (std::uint64_t number, std::uint64_t version))
{
    const auto from = Incarnation{MemberName("entry-1"), number};
    auto reader = FrameReader(Secret);
    reader.append(encodeFrame({from, 7, Heartbeat{version, 0, "", "", ""}}, Secret));
    const auto frame = reader.next();
    RC_ASSERT(frame.has_value());
    RC_ASSERT(frame->has_value());
    RC_ASSERT((*frame)->from == from);
    RC_ASSERT(std::get<Heartbeat>((*frame)->message).version == version);
}

RC_GTEST_PROP(Frame, IsRefusedWhenAnyBitOfItsBodyOrDigestChanged, ())
{
    auto bytes = encodeFrame({{MemberName("entry-1"), 1}, 7, Heartbeat{3, 0, "", "", ""}}, Secret);
    const auto bit = *rc::gen::inRange<qsizetype>(32, bytes.size() * 8);
    bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
    auto reader = FrameReader(Secret);
    reader.append(bytes);
    RC_ASSERT(!reader.next().has_value());
}

RC_GTEST_PROP(Frame, NeverCrashesOnRandomBytes, (const std::string &bytes))
{
    auto reader = FrameReader(Secret);
    reader.append(QByteArray::fromStdString(bytes));
    const auto frame = reader.next();
    RC_ASSERT(!frame.has_value() || !frame->has_value());
}

} // namespace

} // namespace shallotproxy
