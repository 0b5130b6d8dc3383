#ifndef HYSSOPCROSS_REVIEW_STANDINS_HTTP_H
#define HYSSOPCROSS_REVIEW_STANDINS_HTTP_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;

struct Address {
  std::string m_Host;
  uint16_t m_Port = 0;
  std::string toString() const { return m_Host + ":" + std::to_string(m_Port); }
};

/// A request or a response; header names are in lower case.
struct Message {
  /// Request line or status line.
  std::string m_Start;
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;

  std::string header(const std::string &Name) const;
  /// Status of a response; 0 if the line is no status line.
  int status() const;
  std::string method() const;
  /// Path and query of a request.
  std::string target() const;
};

/// One TCP connection with blocking calls that end at a time.
class Connection {
public:
  explicit Connection(int Socket = -1) : m_Socket(Socket) {}
  ~Connection() { close(); }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  bool connect(const Address &To);
  bool write(std::string_view Bytes);
  /// Reads a whole message. Returns false if the connection ended or the time
  /// was over first.
  bool read(Message &Into, Time Until);
  /// Whether the peer closed or reset the connection. Does not wait.
  bool hasEnded();
  void close();
  bool isOpen() const { return m_Socket >= 0; }
  int socket() const { return m_Socket; }

private:
  bool fill(Time Until);

  int m_Socket;
  std::string m_Buffer;
};

/// Accepts connections and serves each one on a thread of its own.
class Server {
public:
  using Handler = std::function<void(Connection &)>;
  Server(const Address &At, Handler Serve);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

private:
  void accept();

  Handler m_Serve;
  int m_Listener = -1;
  std::mutex m_Mutex;
  bool m_Ended = false;
  std::set<int> m_Sockets;
  std::vector<std::thread> m_Threads;
  std::thread m_Acceptor;
};

/// Opens a listening socket; -1 if the address is in use.
int listenAt(const Address &At);

/// A response with a body of a stated length.
std::string response(int Status, const std::string &Headers,
                     const std::string &Body);

std::string percentDecoded(std::string_view Text);
std::string queryParameter(std::string_view Target, std::string_view Name);

inline Time after(double Seconds) {
  return Clock::now() + std::chrono::duration_cast<Clock::duration>(
                            std::chrono::duration<double>(Seconds));
}
inline void sleepFor(double Seconds) {
  std::this_thread::sleep_until(after(Seconds));
}

} // namespace review

#endif
