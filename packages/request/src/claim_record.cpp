#include <QCryptographicHash>

#include <fmt/format.h>

#include "shallotproxy/process/base/record_codec.hpp"
#include "shallotproxy/request/claim/claim_record.hpp"

namespace shallotproxy {

auto encodeClaim(const ClaimRecord &record) -> std::string
{
    return packRecord(record);
}

auto decodeClaim(const std::string &bytes) -> std::optional<ClaimRecord>
{
    return unpackRecord<ClaimRecord>(bytes);
}

auto claimSuffix(const ClaimName &name) -> std::string
{
    const auto digest =
        QCryptographicHash::hash(QByteArray::fromStdString(name.key), QCryptographicHash::Sha256);
    return fmt::format("claims/{}/{}", name.team.value(), digest.toHex().toStdString());
}

} // namespace shallotproxy
