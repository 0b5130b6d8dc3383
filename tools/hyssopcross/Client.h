#ifndef HYSSOPCROSS_TOOLS_CLIENT_H
#define HYSSOPCROSS_TOOLS_CLIENT_H

#include "hyssopcross/base/Error.h"
#include "hyssopcross/base/Settings.h"
#include "hyssopcross/httpclient/Client.h"
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopcross::tool {

/// An answer of an entry VM.
struct Response {
  int m_Status = 0;
  std::string m_Body;
};

/// Sends operators' requests. Implemented over HTTP, and by tests.
class Client {
public:
  virtual ~Client() = default;

  /// Sends one request; an empty body stands for none. Fails with Unavailable
  /// if no entry VM answered.
  virtual Result<Response> send(std::string_view Method, std::string_view Path,
                                std::string_view Body) = 0;
};

/// Sends each request over HTTP to the first entry VM that answers, starting
/// with the one that answered last. An entry VM that cannot reach the store
/// counts as not answering, as long as there is another.
class HttpClient final : public Client {
public:
  HttpClient(std::vector<Address> Entries, std::chrono::milliseconds Timeout);

  Result<Response> send(std::string_view Method, std::string_view Path,
                        std::string_view Body) override;

private:
  Result<Response> exchange(const Address &Entry, std::string_view Method,
                            std::string_view Path, std::string_view Body);

  std::vector<Address> m_Entries;
  std::chrono::milliseconds m_Timeout;
  httpclient::Client m_Client;
  size_t m_First = 0;
};

} // namespace hyssopcross::tool

#endif
