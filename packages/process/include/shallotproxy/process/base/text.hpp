#pragma once

#include <string_view>

#include <QString>

namespace shallotproxy {

/// Returns UTF-8 text as a QString.
inline auto toQString(std::string_view text) -> QString
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

} // namespace shallotproxy
