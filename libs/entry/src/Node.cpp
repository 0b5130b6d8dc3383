#include "hyssopcross/entry/Node.h"
#include "hyssopcross/base/Log.h"
#include "hyssopcross/store/HttpStore.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <thread>

namespace hyssopcross::entry {

namespace {

/// Pause between two looks at whether a stop is done.
constexpr Duration StopPoll = std::chrono::milliseconds(20);

/// Pause between two looks at connections that are idle or silent.
constexpr Duration SweepPause = std::chrono::milliseconds(200);

/// Pause between two looks at which services' records this VM looks after.
constexpr Duration UpkeepPause = std::chrono::seconds(2);

uint64_t incarnation(const Clock &Time) {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          Time.wallNow().time_since_epoch())
          .count());
}

ControlSettings controlSettings(const NodeSettings &Settings,
                                const Clock &Time) {
  ControlSettings Made;
  Made.m_Self = {Settings.m_Name,
                 incarnation(Time),
                 Settings.m_DataCentre,
                 Settings.m_Region,
                 Settings.m_Listen.toString(),
                 Settings.m_PeerListen.toString()};
  Made.m_Membership = Settings.m_Membership;
  Made.m_Ownership = Settings.m_Ownership;
  Made.m_Follower = Settings.m_Follower;
  Made.m_Addresses = Settings.m_Addresses;
  Made.m_Distances = Settings.m_Distances;
  Made.m_Seed = Settings.m_Seed;
  return Made;
}

std::string processName(const NodeSettings &Settings, const Clock &Time) {
  return Settings.m_Name + "-" + std::to_string(incarnation(Time));
}

} // namespace

/// The parts of a node, in the order in which they are built. They are
/// destroyed in reverse, so each may use those above it.
struct Node::Parts {
  Parts(const NodeSettings &Settings, const Clock &Time)
      : m_Table(
            store::connectTable(Settings.m_Platform, Settings.m_StoreTimeout)),
        m_Objects(store::connectObjectStore(Settings.m_Platform,
                                            Settings.m_StoreTimeout)),
        m_VmList(
            store::connectVmList(Settings.m_Platform, Settings.m_StoreTimeout)),
        m_Tracer(Settings.m_TraceShare, Settings.m_Seed),
        m_Timers(m_Loop, Time),
        m_PeerThreads(std::make_unique<Workers>(Settings.m_PeerThreads)),
        m_StoreThreads(std::make_unique<Workers>(Settings.m_StoreThreads)),
        m_Store(*m_Table, *m_Objects, *m_StoreThreads),
        m_Pools(Time, m_Loop, Settings.m_Pool, Settings.m_Seed, outside()),
        m_Control(controlSettings(Settings, Time),
                  {Time, m_Loop, m_Store, *m_VmList, *m_StoreThreads, m_Peers,
                   *m_PeerThreads, m_Pools}),
        m_Claims(processName(Settings, Time), Settings.m_Claims,
                 Settings.m_Seed, Time, m_Loop, m_Store, m_Timers),
        m_Uploads(
            processName(Settings, Time), Settings.m_Uploads, Settings.m_Seed,
            Time, m_Loop, m_Store, m_Timers,
            [this](const uploads::DeliverUpload &Held, ResultCallback Done) {
              m_Router.deliver(Held, std::move(Done));
            }),
        m_Router(
            {Time, m_Loop, m_Control, m_Pools, m_Claims, m_Uploads, m_Tracer}),
        m_Front(Time, m_Control, m_Router, m_Tracer, m_Metrics, Settings.m_Name,
                Settings.m_Seed, Settings.m_BodyBudget),
        m_OperatorFront(Time, m_Loop, *m_Table, m_Control, m_Pools, m_Claims,
                        m_Metrics),
        m_Operators(m_Loop, Time,
                    [this](auto Asked) { m_OperatorFront.handle(Asked); }),
        m_Callers(m_Loop, Time, [this](auto Asked) { m_Front.handle(Asked); }) {
  }

  /// Ends the threads that wait while the loop still runs, then the loop.
  ~Parts() {
    m_PeerServer.reset();
    m_OperatorFront.end();
    m_StoreThreads.reset();
    m_PeerThreads.reset();
    m_Loop.stop();
    if (m_Thread.joinable())
      m_Thread.join();
  }

  PoolOutside outside() {
    return {[this](const balancing::PoolId &Pool) {
              return m_Control.standing(Pool);
            },
            [this](const balancing::PoolId &Pool, bool Queueing) {
              m_Control.announceQueueing(Pool, Queueing);
            },
            [this](const balancing::PoolId &Pool,
                   const balancing::PoolId &Target, uint32_t FreeSlots) {
              m_Control.askPull(Pool, Target, FreeSlots);
            }};
  }

  boost::asio::io_context m_Loop;
  std::unique_ptr<store::Table> m_Table;
  std::unique_ptr<store::ObjectStore> m_Objects;
  std::unique_ptr<store::VmList> m_VmList;
  trace::Tracer m_Tracer;
  Metrics m_Metrics;
  peer::PeerClients m_Peers;
  Timers m_Timers;
  std::unique_ptr<Workers> m_PeerThreads;
  std::unique_ptr<Workers> m_StoreThreads;
  StoreAccess m_Store;
  Pools m_Pools;
  Control m_Control;
  ClaimsHost m_Claims;
  UploadsHost m_Uploads;
  Router m_Router;
  CallerFront m_Front;
  OperatorFront m_OperatorFront;
  http::Listener m_Operators;
  http::Listener m_Callers;
  std::unique_ptr<peer::PeerServer> m_PeerServer;
  std::thread m_Thread;
};

Node::Node(NodeSettings Settings)
    : m_Settings(std::move(Settings)),
      m_Parts(std::make_unique<Parts>(m_Settings, m_Clock)) {}

Node::~Node() = default;

Result<void> Node::listen() {
  auto Peers = peer::PeerServer::start(
      m_Settings.m_PeerListen,
      std::make_shared<PeerHandler>(m_Parts->m_Control));
  if (!Peers)
    return fail(Peers.error().m_Code, Peers.error().m_Message);
  m_Parts->m_PeerServer = std::move(Peers.value());
  m_Parts->m_Callers.setLimits(m_Settings.m_CallerLimits);
  m_Parts->m_Callers.setRefusal(
      [this](unsigned Status) { return m_Parts->m_Front.refuseInput(Status); });
  auto Operators = m_Parts->m_Operators.listen(m_Settings.m_AdminListen);
  if (!Operators)
    return Operators;
  return m_Parts->m_Callers.listen(m_Settings.m_Listen);
}

Result<void> Node::start() {
  auto Listening = listen();
  if (!Listening)
    return Listening;
  m_Parts->m_Control.start();
  m_Parts->m_Timers.post([this] { assignUpkeep(); });
  m_Parts->m_Timers.post([this] { sweep(); });
  m_Parts->m_Thread = std::thread([this] {
    auto StayIdle = boost::asio::make_work_guard(m_Parts->m_Loop);
    m_Parts->m_Loop.run();
  });
  logEvent(LogLevel::Info, "started",
           {{"vm", m_Settings.m_Name},
            {"data_centre", m_Settings.m_DataCentre},
            {"listen", m_Settings.m_Listen.toString()},
            {"peer_listen", m_Settings.m_PeerListen.toString()}});
  return boost::outcome_v2::success();
}

void Node::sweep() {
  m_Parts->m_Callers.sweep();
  m_Parts->m_Operators.sweep();
  m_Parts->m_Pools.sweep();
  m_Parts->m_Router.sweep();
  m_Parts->m_Timers.schedule("sweep", m_Clock.now() + SweepPause,
                             [this] { sweep(); });
}

void Node::assignUpkeep() {
  std::shared_ptr<const addresses::RoutingView> View =
      m_Parts->m_Control.routing();
  for (const auto &[Service, Entry] : View->m_Catalogue.m_Services) {
    auto First =
        View->m_Owners.m_Owners.lower_bound(balancing::PoolId{Service, ""});
    bool Ours = First != View->m_Owners.m_Owners.end() &&
                First->first.m_Service == Service &&
                First->second.m_Owner == m_Settings.m_Name;
    if (Entry.m_Class == catalogue::ServiceClass::Money)
      m_Parts->m_Claims.setSweeper(Service, Ours);
    if (Entry.m_Class == catalogue::ServiceClass::Upload)
      m_Parts->m_Uploads.setDeliverer(Service, Ours);
  }
  m_Parts->m_Timers.schedule("upkeep", m_Clock.now() + UpkeepPause,
                             [this] { assignUpkeep(); });
}

void Node::stop() {
  logEvent(LogLevel::Info, "stopping", {{"vm", m_Settings.m_Name}});
  TimePoint GiveUp = m_Clock.now() + m_Settings.m_StopTimeout;
  m_Parts->m_Control.beginStop();
  TimePoint Linger = m_Clock.now() + m_Settings.m_StopLinger;
  while ((!m_Parts->m_Control.drained() || m_Clock.now() < Linger) &&
         m_Clock.now() < GiveUp)
    std::this_thread::sleep_for(StopPoll);
  m_Parts->m_Timers.ask([this] {
    m_Parts->m_Callers.stopAccepting();
    m_Parts->m_Callers.closeAfterAnswers();
    m_Parts->m_Callers.closeIdle();
  });
  auto Busy = [this] {
    return m_Parts->m_Timers.ask(
               [this] { return m_Parts->m_Callers.busyCount(); }) != 0 ||
           m_Parts->m_Claims.open() != 0;
  };
  while (Busy() && m_Clock.now() < GiveUp)
    std::this_thread::sleep_for(StopPoll);
  logEvent(LogLevel::Info, "stopped",
           {{"vm", m_Settings.m_Name},
            {"drained", m_Parts->m_Control.drained() ? "true" : "false"},
            {"open_claims", m_Parts->m_Claims.open()}});
}

} // namespace hyssopcross::entry
