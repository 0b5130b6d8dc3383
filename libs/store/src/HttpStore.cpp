#include "hyssopcross/store/HttpStore.h"
#include "hyssopcross/httpclient/Client.h"
#include "hyssopcross/store/Wire.h"

namespace hyssopcross::store {

namespace {

using httpclient::escapeUrl;
using httpclient::Response;

constexpr int Ok = 200;
constexpr int NoContent = 204;
constexpr int NotFound = 404;
constexpr int BadRequest = 400;
constexpr int TooLarge = 413;
constexpr int ServiceUnavailable = 503;

/// Sends requests to one platform.
class Connection {
public:
  Connection(const Address &Platform, Duration Timeout)
      : m_Base("http://" + Platform.toString()), m_Timeout(Timeout) {}

  /// A failed read never took effect, so all of its failures are Unavailable.
  Result<Response> read(const std::string &Path) {
    httpclient::Request Request;
    Request.m_Url = m_Base + Path;
    Request.m_Timeout = m_Timeout;
    Request.m_MayResend = true;
    auto Answer = m_Client.send(Request);
    if (!Answer)
      return fail(ErrorCode::Unavailable, Answer.error().m_Message);
    if (Answer.value().m_Status == NotFound)
      return Answer;
    return check(std::move(Answer.value()), ErrorCode::Unavailable);
  }

  /// A failed write may have taken effect once a byte of it was sent.
  Result<Response> write(const char *Method, const std::string &Path,
                         std::string_view Body, const char *ContentType) {
    httpclient::Request Request;
    Request.m_Method = Method;
    Request.m_Url = m_Base + Path;
    Request.m_Headers = {{"Content-Type", ContentType}};
    Request.m_Body = Body;
    Request.m_Timeout = m_Timeout;
    auto Answer = m_Client.send(Request);
    if (!Answer)
      return fail(Answer.error().m_Code, Answer.error().m_Message);
    return check(std::move(Answer.value()), ErrorCode::Unknown);
  }

private:
  /// Turns the statuses that promise "no effect" into errors that say so, and
  /// those that promise nothing into IfUndefined.
  static Result<Response> check(Response Answer, ErrorCode IfUndefined) {
    std::string Message =
        "the platform answered with status " + std::to_string(Answer.m_Status);
    switch (Answer.m_Status) {
    case Ok:
    case NoContent:
      return Answer;
    case ServiceUnavailable:
      return fail(ErrorCode::Unavailable, std::move(Message));
    case BadRequest:
      return fail(ErrorCode::InvalidInput, Message + ": " + Answer.m_Body);
    case TooLarge:
      return fail(ErrorCode::LimitExceeded, std::move(Message));
    default:
      return fail(IfUndefined, std::move(Message));
    }
  }

  std::string m_Base;
  Duration m_Timeout;
  httpclient::Client m_Client;
};

std::string listQuery(std::string_view Prefix, size_t Limit) {
  return "?prefix=" + escapeUrl(Prefix) + "&limit=" + std::to_string(Limit);
}

class HttpTable final : public Table {
public:
  HttpTable(const Address &Platform, Duration Timeout)
      : m_Connection(Platform, Timeout) {}

  Result<std::optional<Row>> read(std::string_view Key) override {
    auto Answer = m_Connection.read("/table/row?key=" + escapeUrl(Key));
    if (!Answer)
      return Answer.as_failure();
    if (Answer.value().m_Status == NotFound)
      return std::optional<Row>();
    auto Read = decodeRow(Answer.value().m_Body);
    if (!Read)
      return Read.as_failure();
    return std::optional<Row>(std::move(Read.value()));
  }

  Result<std::map<std::string, Row>> scan(std::string_view Prefix,
                                          size_t Limit) override {
    auto Answer = m_Connection.read("/table/rows" + listQuery(Prefix, Limit));
    if (!Answer)
      return Answer.as_failure();
    return decodeRows(Answer.value().m_Body);
  }

  Result<CommitResult> commit(std::span<const Write> Writes) override {
    auto Body = encodeWrites(Writes);
    if (!Body)
      return Body.as_failure();
    auto Answer = m_Connection.write("POST", "/table/commit", Body.value(),
                                     "application/json");
    if (!Answer)
      return Answer.as_failure();
    auto Read = decodeCommitResult(Answer.value().m_Body);
    if (!Read)
      return fail(ErrorCode::Unknown, Read.error().m_Message);
    return Read;
  }

private:
  Connection m_Connection;
};

class HttpObjectStore final : public ObjectStore {
public:
  HttpObjectStore(const Address &Platform, Duration Timeout)
      : m_Connection(Platform, Timeout) {}

  Result<void> put(std::string_view Key, std::string_view Body) override {
    auto Answer = m_Connection.write("PUT", objectPath(Key), Body,
                                     "application/octet-stream");
    if (!Answer)
      return Answer.as_failure();
    return boost::outcome_v2::success();
  }

  Result<std::string> get(std::string_view Key) override {
    auto Answer = m_Connection.read(objectPath(Key));
    if (!Answer)
      return Answer.as_failure();
    if (Answer.value().m_Status == NotFound)
      return fail(ErrorCode::NotFound,
                  "object \"" + std::string(Key) + "\" does not exist");
    return std::move(Answer.value().m_Body);
  }

  Result<void> remove(std::string_view Key) override {
    auto Answer = m_Connection.write("DELETE", objectPath(Key), {},
                                     "application/octet-stream");
    if (!Answer)
      return Answer.as_failure();
    return boost::outcome_v2::success();
  }

  Result<std::vector<std::string>> list(std::string_view Prefix,
                                        size_t Limit) override {
    auto Answer = m_Connection.read("/objects" + listQuery(Prefix, Limit));
    if (!Answer)
      return Answer.as_failure();
    return decodeKeys(Answer.value().m_Body);
  }

private:
  static std::string objectPath(std::string_view Key) {
    return "/object?key=" + escapeUrl(Key);
  }

  Connection m_Connection;
};

class HttpVmList final : public VmList {
public:
  HttpVmList(const Address &Platform, Duration Timeout)
      : m_Connection(Platform, Timeout) {}

  Result<std::vector<VmRecord>> fetch() override {
    auto Answer = m_Connection.read("/vms");
    if (!Answer)
      return Answer.as_failure();
    return decodeVms(Answer.value().m_Body);
  }

private:
  Connection m_Connection;
};

} // namespace

std::unique_ptr<Table> connectTable(const Address &Platform, Duration Timeout) {
  return std::make_unique<HttpTable>(Platform, Timeout);
}

std::unique_ptr<ObjectStore> connectObjectStore(const Address &Platform,
                                                Duration Timeout) {
  return std::make_unique<HttpObjectStore>(Platform, Timeout);
}

std::unique_ptr<VmList> connectVmList(const Address &Platform,
                                      Duration Timeout) {
  return std::make_unique<HttpVmList>(Platform, Timeout);
}

} // namespace hyssopcross::store
