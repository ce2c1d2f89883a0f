#include <QCryptographicHash>

#include <fmt/format.h>

#include "shallotproxy/request/claim/claim_record.hpp"

namespace shallotproxy {

auto encodeClaim(const ClaimRecord &record) -> std::string
{
    auto buf = msgpack::sbuffer();
    msgpack::pack(buf, record);
    return {buf.data(), buf.size()};
}

auto decodeClaim(const std::string &bytes) -> std::optional<ClaimRecord>
{
    try {
        return msgpack::unpack(bytes.data(), bytes.size()).get().as<ClaimRecord>();
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    }
}

auto claimSuffix(const ClaimName &name) -> std::string
{
    const auto digest =
        QCryptographicHash::hash(QByteArray::fromStdString(name.key), QCryptographicHash::Sha256);
    return fmt::format("claims/{}/{}", name.team.value(), digest.toHex().toStdString());
}

} // namespace shallotproxy
