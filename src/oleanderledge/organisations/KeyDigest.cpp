#include "oleanderledge/organisations/KeyDigest.hpp"

#include <QByteArrayView>
#include <QCryptographicHash>

namespace oleanderledge {

std::string DigestOfKey(std::string_view aKey)
{
  QCryptographicHash hash(QCryptographicHash::Sha256);
  hash.addData(QByteArrayView(aKey.data(), static_cast<qsizetype>(aKey.size())));
  return hash.result().first(static_cast<qsizetype>(kKeyDigestBytes)).toStdString();
}

} // namespace oleanderledge
