#include "Http.h"
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in toSockaddr(const Address &At) {
  sockaddr_in Made{};
  Made.sin_family = AF_INET;
  Made.sin_port = htons(At.m_Port);
  ::inet_pton(AF_INET, At.m_Host.c_str(), &Made.sin_addr);
  return Made;
}

void sendAtOnce(int Socket) {
  int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

std::string lowered(std::string Text) {
  for (char &C : Text)
    C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  return Text;
}

/// Parses the head that ends before End.
Message parseHead(const std::string &Head) {
  Message Made;
  size_t Line = 0;
  while (Line < Head.size()) {
    size_t End = std::min(Head.find("\r\n", Line), Head.size());
    std::string Text = Head.substr(Line, End - Line);
    Line = End + 2;
    if (Made.m_Start.empty()) {
      Made.m_Start = Text;
      continue;
    }
    size_t Colon = Text.find(':');
    if (Colon == std::string::npos)
      continue;
    size_t Value = Text.find_first_not_of(' ', Colon + 1);
    Made.m_Headers[lowered(Text.substr(0, Colon))] =
        Value == std::string::npos ? "" : Text.substr(Value);
  }
  return Made;
}

} // namespace

std::string Message::header(const std::string &Name) const {
  auto Found = m_Headers.find(Name);
  return Found == m_Headers.end() ? std::string() : Found->second;
}

int Message::status() const {
  return m_Start.rfind("HTTP/1.", 0) == 0 && m_Start.size() > 11
             ? std::atoi(m_Start.c_str() + 9)
             : 0;
}

std::string Message::method() const {
  return m_Start.substr(0, m_Start.find(' '));
}

std::string Message::target() const {
  size_t From = m_Start.find(' ') + 1;
  return m_Start.substr(From, m_Start.find(' ', From) - From);
}

bool Connection::connect(const Address &To) {
  close();
  m_Buffer.clear();
  m_Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in At = toSockaddr(To);
  if (::connect(m_Socket, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0) {
    close();
    return false;
  }
  sendAtOnce(m_Socket);
  return true;
}

bool Connection::write(std::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Sent = ::send(m_Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<size_t>(Sent));
  }
  return true;
}

bool Connection::fill(Time Until) {
  while (true) {
    auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        Until - Clock::now());
    if (Left.count() < 0)
      return false;
    pollfd Wait{m_Socket, POLLIN, 0};
    int Ready = ::poll(&Wait, 1, static_cast<int>(Left.count()) + 1);
    if (Ready < 0 && errno != EINTR)
      return false;
    if (Ready <= 0)
      continue;
    constexpr size_t Chunk = 65536;
    size_t Before = m_Buffer.size();
    m_Buffer.resize(Before + Chunk);
    ssize_t Got = ::recv(m_Socket, m_Buffer.data() + Before, Chunk, 0);
    m_Buffer.resize(Before + static_cast<size_t>(std::max<ssize_t>(0, Got)));
    return Got > 0;
  }
}

bool Connection::read(Message &Into, Time Until) {
  size_t HeadEnd = 0;
  while ((HeadEnd = m_Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!fill(Until))
      return false;
  Into = parseHead(m_Buffer.substr(0, HeadEnd));
  m_Buffer.erase(0, HeadEnd + 4);
  if (lowered(Into.header("transfer-encoding")) == "chunked") {
    while (true) {
      size_t LineEnd = 0;
      while ((LineEnd = m_Buffer.find("\r\n")) == std::string::npos)
        if (!fill(Until))
          return false;
      size_t Size = std::strtoul(m_Buffer.c_str(), nullptr, 16);
      while (m_Buffer.size() < LineEnd + 2 + Size + 2)
        if (!fill(Until))
          return false;
      Into.m_Body += m_Buffer.substr(LineEnd + 2, Size);
      m_Buffer.erase(0, LineEnd + 2 + Size + 2);
      if (Size == 0)
        return true;
    }
  }
  size_t Length =
      std::strtoul(Into.header("content-length").c_str(), nullptr, 10);
  while (m_Buffer.size() < Length)
    if (!fill(Until))
      return false;
  Into.m_Body = m_Buffer.substr(0, Length);
  m_Buffer.erase(0, Length);
  return true;
}

bool Connection::hasEnded() {
  char Byte = 0;
  ssize_t Got = ::recv(m_Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got == 0 || (Got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::close() {
  if (m_Socket >= 0)
    ::close(m_Socket);
  m_Socket = -1;
}

int listenAt(const Address &At) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in To = toSockaddr(At);
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0 ||
      ::listen(Socket, SOMAXCONN) != 0) {
    ::close(Socket);
    return -1;
  }
  return Socket;
}

Server::Server(const Address &At, Handler Serve)
    : m_Serve(std::move(Serve)), m_Listener(listenAt(At)),
      m_Acceptor([this] { accept(); }) {}

Server::~Server() {
  {
    std::lock_guard Guard(m_Mutex);
    m_Ended = true;
    for (int Each : m_Sockets)
      ::shutdown(Each, SHUT_RDWR);
  }
  ::shutdown(m_Listener, SHUT_RDWR);
  m_Acceptor.join();
  for (std::thread &Each : m_Threads)
    Each.join();
  ::close(m_Listener);
}

void Server::accept() {
  while (true) {
    int Socket = ::accept4(m_Listener, nullptr, nullptr, SOCK_CLOEXEC);
    std::lock_guard Guard(m_Mutex);
    if (Socket < 0 || m_Ended) {
      if (Socket >= 0)
        ::close(Socket);
      if (m_Ended || errno == EINVAL || errno == EBADF)
        return;
      continue;
    }
    sendAtOnce(Socket);
    m_Sockets.insert(Socket);
    m_Threads.emplace_back([this, Socket] {
      Connection Own(Socket);
      m_Serve(Own);
      std::lock_guard Left(m_Mutex);
      m_Sockets.erase(Socket);
      Own.close();
    });
  }
}

std::string response(int Status, const std::string &Headers,
                     const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string percentDecoded(std::string_view Text) {
  std::string Decoded;
  for (size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Decoded += static_cast<char>(std::strtoul(
          std::string(Text.substr(I + 1, 2)).c_str(), nullptr, 16));
      I += 2;
      continue;
    }
    Decoded += Text[I];
  }
  return Decoded;
}

std::string queryParameter(std::string_view Target, std::string_view Name) {
  size_t Start = Target.find('?');
  while (Start != std::string_view::npos) {
    std::string_view Rest = Target.substr(Start + 1);
    std::string_view Pair = Rest.substr(0, Rest.find('&'));
    size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name && Equals != std::string_view::npos)
      return percentDecoded(Pair.substr(Equals + 1));
    Start = Target.find('&', Start + 1);
  }
  return {};
}

} // namespace review
