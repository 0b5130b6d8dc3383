#include "hyssopcross/protocol/Outcome.h"
#include "hyssopcross/base/Invariant.h"
#include <array>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

namespace hyssopcross::protocol {

namespace {

constexpr size_t DigestBytes = 32;

std::string encodeBase64(const std::array<unsigned char, DigestBytes> &Bytes) {
  gnutls_datum_t Input{const_cast<unsigned char *>(Bytes.data()), DigestBytes};
  gnutls_datum_t Output{nullptr, 0};
  int Status = gnutls_base64_encode2(&Input, &Output);
  HYSSOPCROSS_INVARIANT(Status == GNUTLS_E_SUCCESS, "base64 has memory");
  std::string Text(reinterpret_cast<const char *>(Output.data), Output.size);
  gnutls_free(Output.data);
  return Text;
}

} // namespace

const char *outcomeName(Outcome Value) {
  switch (Value) {
  case Outcome::Completed:
    return "completed";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

Result<Outcome> parseOutcome(std::string_view Name) {
  if (Name == "completed")
    return Outcome::Completed;
  if (Name == "not-run")
    return Outcome::NotRun;
  if (Name == "unknown")
    return Outcome::Unknown;
  return fail(ErrorCode::Protocol,
              "outcome \"" + std::string(Name) +
                  "\" is none of completed, not-run, unknown");
}

std::string contentDigest(std::string_view Body) {
  std::array<unsigned char, DigestBytes> Digest{};
  int Status = gnutls_hash_fast(GNUTLS_DIG_SHA256, Body.data(), Body.size(),
                                Digest.data());
  HYSSOPCROSS_INVARIANT(Status == GNUTLS_E_SUCCESS, "SHA-256 is available");
  return "sha-256=:" + encodeBase64(Digest) + ":";
}

} // namespace hyssopcross::protocol
