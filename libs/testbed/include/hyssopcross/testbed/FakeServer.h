#ifndef HYSSOPCROSS_TESTBED_FAKESERVER_H
#define HYSSOPCROSS_TESTBED_FAKESERVER_H

#include "hyssopcross/balancing/Events.h"
#include "hyssopcross/testbed/EventQueue.h"
#include "hyssopcross/testbed/Layout.h"
#include "hyssopcross/testbed/Ledger.h"
#include <deque>
#include <functional>
#include <map>

namespace hyssopcross::testbed {

/// Identifies a request on its way to a server and back.
using RequestId = uint64_t;

/// A request as a server receives it.
struct Request {
  RequestId m_Id = 0;
  balancing::CallId m_Call = 0;
  /// Time that the request takes at a warm server at full speed.
  Duration m_Work{};
  TimePoint m_Deadline;
};

/// How a server answers.
enum class AnswerKind {
  Whole,
  Shed,
  /// Nothing listened; nothing was sent.
  Refused,
  Reset,
  CutShort,
  Cancelled,
};

/// An answer as it leaves a server.
struct Answer {
  AnswerKind m_Kind = AnswerKind::Whole;
  /// The call that the body belongs to.
  balancing::CallId m_Call = 0;
  balancing::LoadReport m_Report;
};

/// A backend server with slots, a small backlog, a cold state and faults.
/// Not thread-safe.
class FakeServer {
public:
  using AnswerSink = std::function<void(RequestId, const Answer &)>;

  /// The queue, the ledger and the sink must outlive the server.
  FakeServer(const ServerLayout &Server, const ServiceLayout &Service,
             EventQueue &Queue, Ledger &Ledger, AnswerSink Sink);

  const ServerLayout &layout() const { return m_Layout; }
  bool isUp() const { return m_Up; }
  bool isCold() const { return m_Cold; }
  bool isDraining() const { return m_Draining; }
  balancing::LoadReport report() const;

  /// Takes a request, and answers through the sink now or later.
  void receive(const Request &Request);

  /// Stops a request, if it is still held.
  void cancel(RequestId Id);

  /// Stops at once: nothing that was held is answered by a whole answer.
  void stop();

  /// Starts under a new boot identity.
  void start(bool Cold);

  /// Turns cold, and keeps what is in flight.
  void turnCold();

  void setDraining(bool Draining) { m_Draining = Draining; }
  void setSlowness(double Factor);
  void setFailingFast(bool Failing) { m_FailingFast = Failing; }
  void setCrossing(bool Crossing);
  void setCutting(bool Cutting) { m_Cutting = Cutting; }
  void setLateness(Duration Lateness) { m_Lateness = Lateness; }

private:
  struct Running {
    Request m_Request;
    Duration m_Left{};
    TimePoint m_Since;
    uint64_t m_Timer = 0;
  };

  double slowness() const;
  bool shouldShed() const;
  void begin(const Request &Request);
  void beginQueued();
  void schedule(Running &Run);
  void settle();
  void reschedule();
  void turnWarm();
  void finish(RequestId Id);
  void answer(const Request &Request, AnswerKind Kind);
  void answerCrossed(const Request &Request);

  ServerLayout m_Layout;
  ServiceLayout m_Service;
  EventQueue &m_Queue;
  Ledger &m_Ledger;
  AnswerSink m_Sink;
  bool m_Up = true;
  bool m_Cold = false;
  bool m_Draining = false;
  bool m_FailingFast = false;
  bool m_Crossing = false;
  bool m_Cutting = false;
  Duration m_Lateness{};
  double m_Slowness = 1.0;
  uint32_t m_Boot = 1;
  uint32_t m_WarmUpLeft = 0;
  uint64_t m_LastTimer = 0;
  std::map<RequestId, Running> m_Running;
  std::deque<Request> m_Backlog;
  std::optional<Request> m_Crossed;
};

} // namespace hyssopcross::testbed

#endif
