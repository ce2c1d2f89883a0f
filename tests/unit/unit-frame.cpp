#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/process.hpp"

namespace shallotproxy {

namespace {

constexpr auto Secret = "a secret of the peers";

const auto alpha = Incarnation{MemberName("entry-1"), 11};
const auto beta = Incarnation{MemberName("entry-2"), 22};

auto heartbeat(ConfigurationVersion version) -> PeerEnvelope
{
    return {alpha, 7, Heartbeat{version, 5, "north", "127.0.0.1:1", "127.0.0.1:2"}};
}

/// Both ends of one connection after the exchange of hellos.
struct Connection
{
    PeerSession near = PeerSession(alpha, Secret, beta.member);
    PeerSession far = PeerSession(beta, Secret);
    QByteArray nearHello = near.takeOutput();

    Connection()
    {
        far.append(nearHello);
        EXPECT_TRUE(far.next().has_value());
        near.append(far.takeOutput());
        EXPECT_TRUE(near.next().has_value());
    }
};

auto errorOf(PeerSession &session, const QByteArray &bytes) -> std::optional<PeerError::Kind>
{
    session.append(bytes);
    while (true) {
        const auto frame = session.next();
        if (!frame)
            return frame.error().kind;
        if (!*frame)
            return std::nullopt;
    }
}

RC_GTEST_PROP(Frame, RoundTripsMessage, (std::uint64_t version))
{
    auto connection = Connection();
    connection.far.append(connection.near.encode(heartbeat(version)));
    const auto frame = connection.far.next();
    RC_ASSERT(frame.has_value());
    RC_ASSERT(frame->has_value());
    RC_ASSERT((*frame)->from == alpha);
    RC_ASSERT((*frame)->sequence == 7U);
    RC_ASSERT(std::get<Heartbeat>((*frame)->message).version == version);
}

RC_GTEST_PROP(Frame, RoundTripsOverAnyStreamSegmentation, (const std::vector<std::uint8_t> &cuts))
{
    auto connection = Connection();
    auto bytes = QByteArray();
    constexpr auto Count = 5U;
    for (auto i = 0U; i < Count; ++i)
        bytes += connection.near.encode(heartbeat(i));
    auto received = 0U;
    const auto receive = [&](qsizetype count) {
        connection.far.append(bytes.left(count));
        bytes.remove(0, count);
        while (true) {
            const auto frame = connection.far.next();
            RC_ASSERT(frame.has_value());
            if (!*frame)
                return;
            RC_ASSERT(std::get<Heartbeat>((*frame)->message).version == received++);
        }
    };
    for (const auto it : cuts)
        receive(it);
    receive(bytes.size());
    RC_ASSERT(received == Count);
}

RC_GTEST_PROP(Frame, RejectsAnyFlippedBitOfBodyOrDigest, ())
{
    auto connection = Connection();
    auto bytes = connection.near.encode(heartbeat(3));
    const auto bit = *rc::gen::inRange<qsizetype>(32, bytes.size() * 8);
    bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
    RC_ASSERT(errorOf(connection.far, bytes) == PeerError::Kind::BadAuthentication);
}

RC_GTEST_PROP(Frame, RejectsRandomBytes, (const std::string &bytes))
{
    auto unauthenticated = PeerSession(beta, Secret);
    unauthenticated.append(QByteArray::fromStdString(bytes));
    const auto first = unauthenticated.next();
    RC_ASSERT((!first.has_value() || !first->has_value()));
    RC_ASSERT(!unauthenticated.isOpen());

    auto connection = Connection();
    connection.far.append(QByteArray::fromStdString(bytes));
    const auto second = connection.far.next();
    RC_ASSERT((!second.has_value() || !second->has_value()));
}

RC_GTEST_PROP(Frame, RejectsMutatedBytes, ())
{
    auto connection = Connection();
    auto bytes = connection.near.encode(heartbeat(1)) + connection.near.encode(heartbeat(2));
    const auto original = bytes;
    const auto count = *rc::gen::inRange(1, 8);
    for (auto i = 0; i < count; ++i) {
        const auto at = *rc::gen::inRange<qsizetype>(0, bytes.size());
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            bytes[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            bytes.remove(at, 1);
            break;
        default:
            bytes.insert(at, *rc::gen::arbitrary<char>());
        }
    }
    RC_PRE(!original.startsWith(bytes) && !bytes.startsWith(original));
    connection.far.append(bytes);
    auto received = 0;
    while (true) {
        const auto frame = connection.far.next();
        if (!frame || !*frame)
            break;
        ++received;
        RC_ASSERT(std::get<Heartbeat>((*frame)->message).version
                  == static_cast<std::uint64_t>(received));
    }
    RC_ASSERT(received < 2);
}

TEST(Frame, RejectsReplayedAndSkippedMessages)
{
    auto replayed = Connection();
    const auto bytes = replayed.near.encode(heartbeat(1));
    EXPECT_EQ(errorOf(replayed.far, bytes), std::nullopt);
    EXPECT_EQ(errorOf(replayed.far, bytes), PeerError::Kind::Replayed);

    auto skipped = Connection();
    skipped.near.encode(heartbeat(1));
    EXPECT_EQ(errorOf(skipped.far, skipped.near.encode(heartbeat(2))), PeerError::Kind::Replayed);
}

TEST(Frame, RejectsFrameOfAnotherConnection)
{
    auto recorded = Connection();
    const auto bytes = recorded.near.encode(heartbeat(1));
    auto other = PeerSession(beta, Secret);
    EXPECT_EQ(errorOf(other, recorded.nearHello + bytes), PeerError::Kind::BadAuthentication);
    auto backwards = Connection();
    EXPECT_EQ(errorOf(backwards.near, bytes), PeerError::Kind::BadAuthentication);
}

TEST(Frame, RejectsHelloForAnotherMember)
{
    auto near = PeerSession(alpha, Secret, MemberName("entry-3"));
    auto far = PeerSession(beta, Secret);
    EXPECT_EQ(errorOf(far, near.takeOutput()), PeerError::Kind::WrongReceiver);
    EXPECT_FALSE(far.isOpen());
}

TEST(Frame, RejectsPeerWithAnotherSecret)
{
    auto near = PeerSession(alpha, "another secret", beta.member);
    auto far = PeerSession(beta, Secret);
    EXPECT_EQ(errorOf(far, near.takeOutput()), PeerError::Kind::BadAuthentication);
}

TEST(Frame, RejectsAnotherProtocolVersion)
{
    auto buf = msgpack::sbuffer();
    auto packer = msgpack::packer(buf);
    packer.pack_array(1);
    packer.pack(PeerProtocolVersion + 1);
    const auto body = QByteArray(buf.data(), static_cast<qsizetype>(buf.size()));
    auto far = PeerSession(beta, Secret);
    EXPECT_EQ(errorOf(far, sealFrame(body, Secret)), PeerError::Kind::WrongProtocol);
}

TEST(Frame, RejectsTooLongFrameByItsLengthField)
{
    auto unauthenticated = PeerSession(beta, Secret);
    EXPECT_EQ(errorOf(unauthenticated, QByteArray::fromHex("00000401")),
              PeerError::Kind::FrameTooLong);
    auto connection = Connection();
    EXPECT_EQ(errorOf(connection.far, QByteArray::fromHex("00400001")),
              PeerError::Kind::FrameTooLong);
}

TEST(Frame, ConfirmsReceivedMessages)
{
    auto connection = Connection();
    EXPECT_EQ(errorOf(connection.far, connection.near.encode(heartbeat(1))), std::nullopt);
    EXPECT_EQ(connection.near.sentCount(), 1U);
    EXPECT_EQ(connection.near.confirmedCount(), 0U);
    connection.far.confirm();
    EXPECT_EQ(errorOf(connection.near, connection.far.takeOutput()), std::nullopt);
    EXPECT_EQ(connection.near.confirmedCount(), 1U);
    connection.far.confirm();
    EXPECT_TRUE(connection.far.takeOutput().isEmpty());
}

} // namespace

} // namespace shallotproxy
