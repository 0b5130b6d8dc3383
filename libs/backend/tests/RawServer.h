#ifndef HYSSOPCROSS_BACKEND_TESTS_RAWSERVER_H
#define HYSSOPCROSS_BACKEND_TESTS_RAWSERVER_H

#include <arpa/inet.h>
#include <atomic>
#include <functional>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace hyssopcross::backend {

/// A server on loopback that answers each request with raw bytes, with a thread
/// for each connection.
class RawServer {
public:
  /// What to send for the Nth request on the server, counted from one, and
  /// whether to close the connection after it. An empty answer closes without
  /// one.
  struct Reply {
    std::string m_Bytes;
    bool m_Close = false;
  };
  using Script = std::function<Reply(int, const std::string &)>;

  explicit RawServer(Script Answers) : m_Answers(std::move(Answers)) {
    m_Listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    [[maybe_unused]] int Bound = bind(
        m_Listener, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    listen(m_Listener, 16);
    socklen_t Size = sizeof(Address);
    getsockname(m_Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
    m_Port = ntohs(Address.sin_port);
    m_Thread = std::thread([this] { serve(); });
  }

  ~RawServer() {
    m_Stopping = true;
    shutdown(m_Listener, SHUT_RDWR);
    m_Thread.join();
    for (int Connection : m_Connections)
      shutdown(Connection, SHUT_RDWR);
    for (std::thread &Each : m_Threads)
      Each.join();
    for (int Connection : m_Connections)
      close(Connection);
    close(m_Listener);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(m_Port); }

  int requests() const { return m_Requests; }

private:
  void serve() {
    while (!m_Stopping) {
      int Connection = accept(m_Listener, nullptr, nullptr);
      if (Connection < 0)
        return;
      m_Connections.push_back(Connection);
      m_Threads.emplace_back([this, Connection] {
        while (serveOne(Connection)) {
        }
        shutdown(Connection, SHUT_RDWR);
      });
    }
  }

  bool serveOne(int Connection) {
    std::string Request = readRequest(Connection);
    if (Request.empty())
      return false;
    Reply Answer = m_Answers(++m_Requests, Request);
    if (!Answer.m_Bytes.empty())
      send(Connection, Answer.m_Bytes.data(), Answer.m_Bytes.size(),
           MSG_NOSIGNAL);
    return !Answer.m_Close && !Answer.m_Bytes.empty();
  }

  static std::string readRequest(int Connection) {
    std::string Text;
    char Buffer[4096];
    while (!whole(Text)) {
      ssize_t Bytes = recv(Connection, Buffer, sizeof(Buffer), 0);
      if (Bytes <= 0)
        return {};
      Text.append(Buffer, static_cast<size_t>(Bytes));
    }
    return Text;
  }

  static bool whole(const std::string &Text) {
    size_t End = Text.find("\r\n\r\n");
    if (End == std::string::npos)
      return false;
    size_t Length = Text.find("Content-Length: ");
    size_t Body = Length == std::string::npos || Length > End
                      ? 0
                      : std::stoul(Text.substr(Length + 16));
    return Text.size() >= End + 4 + Body;
  }

  Script m_Answers;
  int m_Listener = -1;
  uint16_t m_Port = 0;
  std::atomic<int> m_Requests{0};
  std::atomic<bool> m_Stopping{false};
  /// Used by the accepting thread, and after its end by the destructor.
  std::vector<int> m_Connections;
  std::vector<std::thread> m_Threads;
  std::thread m_Thread;
};

} // namespace hyssopcross::backend

#endif
