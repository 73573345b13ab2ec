/// \file
/// Measures the slopes used by docs/CAPACITY.md.

#include "Measurements.h"

#include "Common/Codec.h"
#include "Failover/FailoverCoordinator.h"
#include "Proxy/StatementRequest.h"
#include "Routing/Router.h"
#include "Samples.h"
#include "State/ViewDelta.h"
#include "Transport/Envelope.h"

#include <algorithm>
#include <ctime>
#include <functional>
#include <malloc.h>

namespace corianderdyke {

namespace {

constexpr const char *SealKey = "a key for measuring messages";

/// Returns the microseconds per call: the median of several runs of a few
/// milliseconds each, so that a single disturbance does not affect it.
double microsPerCall(const std::function<void()> &Call) {
  constexpr int Runs = 7;
  constexpr double MinRunMicros = 4000;
  std::vector<double> Results;
  for (int Run = 0; Run < Runs; ++Run) {
    const double Start = cpuMicros();
    double Calls = 0;
    double Elapsed = 0;
    while (Elapsed < MinRunMicros) {
      Call();
      ++Calls;
      Elapsed = cpuMicros() - Start;
    }
    Results.push_back(Elapsed / Calls);
  }
  std::sort(Results.begin(), Results.end());
  return Results[Runs / 2];
}

using Measure = std::function<double(std::size_t)>;

void add(Slopes &Into, const std::string &Name, const std::string &Unit,
         const std::string &Per, const std::vector<std::size_t> &Sizes,
         const Measure &Value) {
  std::vector<Point> Points;
  Points.reserve(Sizes.size());
  for (const std::size_t Size : Sizes)
    Points.push_back({static_cast<double>(Size), Value(Size)});
  Into.emplace(Name, Slope(Name, Unit, Per, std::move(Points)));
}

double wireBytes(Message Body) {
  return static_cast<double>(
      signAndEncode(
          {Envelope::CurrentVersion, "entry-1000", {"10.1.2.3", 7300}, Body},
          SealKey)
          .size());
}

double codecMicros(const Message &Body) {
  const Envelope Sample{
      Envelope::CurrentVersion, "entry-1000", {"10.1.2.3", 7300}, Body};
  return microsPerCall([&] {
    const std::string Bytes = signAndEncode(Sample, SealKey);
    if (!verifyAndDecode(Bytes, SealKey))
      std::abort();
  });
}

constexpr std::size_t MaxSmallSize = 256;
const std::vector<std::size_t> SmallSizes = {0, 8, 64, MaxSmallSize};
/// Returns a view with MaxSmallSize databases, of which the first \p Count
/// have a changed policy.
ClusterView withChangedPolicies(std::size_t Count) {
  ClusterView Out = sampleView(MaxSmallSize, 0);
  ++Out.CurrentManifest->Version;
  for (std::size_t Number = 0; Number < Count; ++Number)
    ++Out.CurrentManifest->Databases[Number].ConnectionsPerTarget;
  return Out;
}

const std::vector<std::size_t> DatabaseSizes = {10, 50, 250, 1000};
const std::vector<std::size_t> ProxySizes = {8, 64, 350, 1400};

} // namespace

double cpuMicros() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  constexpr double Million = 1e6;
  constexpr double Thousand = 1e3;
  return static_cast<double>(Time.tv_sec) * Million +
         static_cast<double>(Time.tv_nsec) / Thousand;
}

double heapBytes() {
  const auto Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

void measureMessages(Slopes &Into) {
  add(Into, "lease-request-bytes", "B", "reported target", SmallSizes,
      [](std::size_t Size) { return wireBytes(sampleRequest(Size)); });
  add(Into, "lease-grant-bytes", "B", "-", {1, 2, 3}, [](std::size_t) {
    return wireBytes(
        LeaseGrant{sampleProxy(1), 1000, Millis(1000000), Millis(600), 10000});
  });
  add(Into, "rights-exchange-bytes", "B", "target in use", SmallSizes,
      [](std::size_t Size) {
        RightsRequest Request;
        Request.Proxy = sampleProxy(1);
        RightsGrant Grant;
        Grant.Proxy = Request.Proxy;
        for (std::size_t Number = 0; Number < Size; ++Number) {
          const std::string Target =
              "bale-ledger-1000-" + std::to_string(Number % 10);
          Request.Demands.push_back({Target, 2, 4});
          Grant.Allocations.push_back({Target, 3});
        }
        return wireBytes(Request) + wireBytes(Grant);
      });
  add(Into, "view-applied-bytes", "B", "-", {1, 2, 3}, [](std::size_t) {
    return wireBytes(ViewApplied{sampleProxy(1), 10000});
  });
  add(Into, "view-bytes-by-database", "B", "database", DatabaseSizes,
      [](std::size_t Size) {
        return wireBytes(ViewUpdate{sampleView(Size, 0)});
      });
  add(Into, "view-bytes-by-proxy", "B", "proxy", ProxySizes,
      [](std::size_t Size) {
        return wireBytes(ViewUpdate{sampleView(0, Size)});
      });
  add(Into, "delta-bytes-by-database", "B", "changed database", SmallSizes,
      [](std::size_t Size) {
        ClusterView To = sampleView(Size, 0);
        const ClusterView From = To;
        for (auto &[Name, Group] : To.Groups)
          ++Group.Term;
        return wireBytes(computeDelta(From, To));
      });
  add(Into, "delta-bytes-by-manifest", "B", "changed database", SmallSizes,
      [](std::size_t Size) {
        return wireBytes(computeDelta(sampleView(MaxSmallSize, 0),
                                      withChangedPolicies(Size)));
      });
  add(Into, "heartbeat-bytes", "B", "-", {1, 2, 3}, [](std::size_t) {
    return wireBytes(
        ConsensusMessage{{"control-1", "12345678901234567890"},
                         AppendRequest{10, 100000, 10, 100000, 1000000, {}}});
  });
  add(Into, "announcement-bytes", "B", "-", {1, 2, 3}, [](std::size_t) {
    return wireBytes(
        ForwardedAnnouncement{sampleView(1, 0).Targets.begin()->second});
  });
}

void measureDuties(Slopes &Into) {
  add(Into, "codec-micros", "us", "reported target", SmallSizes,
      [](std::size_t Size) { return codecMicros(sampleRequest(Size)); });
  add(Into, "view-codec-micros", "us", "database", DatabaseSizes,
      [](std::size_t Size) {
        return codecMicros(ViewUpdate{sampleView(Size, 0)});
      });
  add(Into, "delta-codec-micros", "us", "changed database", SmallSizes,
      [](std::size_t Size) {
        return codecMicros(computeDelta(sampleView(MaxSmallSize, 0),
                                        withChangedPolicies(Size)));
      });
  add(Into, "adopt-micros", "us", "database", DatabaseSizes,
      [](std::size_t Size) {
        const ClusterView From = sampleView(Size, 0);
        ClusterView To = From;
        ++To.CurrentManifest->Version;
        const ViewDelta Delta = computeDelta(From, To);
        return microsPerCall([&] {
          if (!applyDelta(From, Delta))
            std::abort();
        });
      });
  add(Into, "difference-micros", "us", "database", DatabaseSizes,
      [](std::size_t Size) {
        const ClusterView From = sampleView(Size, 0);
        ClusterView To = From;
        ++To.Groups.begin()->second.Term;
        return microsPerCall([&] { computeDelta(From, To); });
      });
  add(Into, "renewal-micros", "us", "proxy", ProxySizes, [](std::size_t Size) {
    LeaseRegistry Leases;
    std::size_t Number = 0;
    return microsPerCall([&] {
      LeaseRequest Request = sampleRequest(1);
      Request.Proxy = sampleProxy(Number++ % Size);
      const Millis Now(static_cast<std::int64_t>(Number));
      Leases.recordRequest(Request, {"10.1.2.3", 7300}, Now);
      Leases.recordGrant(
          {Request.Proxy, Request.Sequence, Request.SentAt, Millis(600), 10},
          Now, 1000);
    });
  });
  add(Into, "in-force-micros", "us", "proxy", ProxySizes, [](std::size_t Size) {
    const ClusterView View = sampleView(0, Size);
    LeaseRegistry Leases;
    Leases.startTerm(View, Millis(0));
    for (const auto &[Id, Where] : View.Proxies)
      Leases.recordApplied(Id, 100);
    return microsPerCall([&] {
      if (!Leases.isInForce(View, 100, Millis(10)))
        std::abort();
    });
  });
  add(Into, "coordinator-micros", "us", "database", DatabaseSizes,
      [](std::size_t Size) {
        const ClusterView View = sampleView(Size, 0);
        LeaseRegistry Leases;
        FailoverCoordinator Failover;
        for (const TargetOrderRequest &Call :
             Failover.step(View, Leases, Millis(1)).Orders)
          Failover.recordAnswer(Call, {Call.Term, Call.Term, 10});
        return microsPerCall([&] { Failover.step(View, Leases, Millis(2)); });
      });
  add(Into, "route-micros", "us", "database", DatabaseSizes,
      [](std::size_t Size) {
        const ClusterView View = sampleView(Size, 0);
        TargetTable Table;
        Table.update(View, Millis(0));
        for (const auto &[Name, Target] : View.Targets)
          Table.observe(Name, {2, 2, 1000, Name == Target.Database + "-0"},
                        Millis(1), Millis(2));
        std::size_t Number = 0;
        return microsPerCall([&] {
          RouteQuery Query;
          Query.Database = "bale-ledger-" + std::to_string(Number++ % Size);
          Query.AcceptedAge = Millis(2000);
          if (!route(
                  View, Table, Query,
                  [](const std::string &) { return std::size_t(0); },
                  Millis(3)))
            std::abort();
        });
      });
  add(Into, "token-micros", "us", "floor", {1, 2, 4, 8}, [](std::size_t Size) {
    SessionToken Token;
    for (std::size_t Number = 0; Number < Size; ++Number)
      Token = Token.withWrite("db-" + std::to_string(Number), 1, 100);
    return microsPerCall([&] {
      if (!verifyToken(signToken(Token, SealKey), SealKey))
        std::abort();
    });
  });
}

void measureState(Slopes &Into) {
  add(Into, "view-heap-bytes-by-database", "B", "database", DatabaseSizes,
      [](std::size_t Size) {
        const double Before = heapBytes();
        const ClusterView View = sampleView(Size, 0);
        return heapBytes() - Before;
      });
  add(Into, "view-heap-bytes-by-proxy", "B", "proxy", ProxySizes,
      [](std::size_t Size) {
        const double Before = heapBytes();
        const ClusterView View = sampleView(0, Size);
        return heapBytes() - Before;
      });
  add(Into, "table-heap-bytes", "B", "database", DatabaseSizes,
      [](std::size_t Size) {
        const ClusterView View = sampleView(Size, 0);
        const double Before = heapBytes();
        TargetTable Table;
        Table.update(View, Millis(0));
        for (const auto &[Name, Target] : View.Targets)
          Table.observe(Name, {2, 2, 1000, Name == Target.Database + "-0"},
                        Millis(1), Millis(2));
        return heapBytes() - Before;
      });
  add(Into, "registry-heap-bytes", "B", "proxy", ProxySizes,
      [](std::size_t Size) {
        const double Before = heapBytes();
        LeaseRegistry Leases;
        for (std::size_t Number = 0; Number < Size; ++Number) {
          LeaseRequest Request = sampleRequest(1);
          Request.Proxy = sampleProxy(Number);
          Leases.recordRequest(Request, {"10.1.2.3", 7300}, Millis(1));
        }
        return heapBytes() - Before;
      });
  add(Into, "manifest-entry-bytes", "B", "database", DatabaseSizes,
      [](std::size_t Size) {
        const Command Entry{"pipeline", Millis(0),
                            ApplyManifest{sampleManifest(Size), ""}};
        return static_cast<double>(encode(Entry).size());
      });
  add(Into, "manifest-apply-micros", "us", "database", DatabaseSizes,
      [](std::size_t Size) {
        Manifest New = sampleManifest(Size);
        ControlState State;
        std::uint64_t Revision = 1;
        return microsPerCall([&] {
          ++New.Version;
          State.apply(++Revision,
                      {"pipeline", Millis(0), ApplyManifest{New, ""}});
        });
      });
  add(Into, "announcement-apply-micros", "us", "database", DatabaseSizes,
      [](std::size_t Size) {
        ControlState State;
        std::uint64_t Revision = 1;
        State.apply(Revision, {"pipeline", Millis(0),
                               ApplyManifest{sampleManifest(Size), ""}});
        TargetAnnouncement Target = sampleView(1, 0).Targets.begin()->second;
        return microsPerCall([&] {
          ++Target.Sequence;
          State.apply(++Revision, {"control", Millis(0), RecordTarget{Target}});
        });
      });
  add(Into, "fence-entry-bytes", "B", "-", {1, 2, 3}, [](std::size_t) {
    const Command Entry{"control", Millis(0),
                        FenceGroup{"bale-ledger-1000", 5,
                                   "bale-ledger-1000-1 can't be "
                                   "reached"}};
    return static_cast<double>(encode(Entry).size());
  });
  add(Into, "register-entry-bytes", "B", "-", {1, 2, 3}, [](std::size_t) {
    const Command Entry{
        "control", Millis(0),
        RegisterProxy{sampleProxy(1),
                      {"region-1", "failure-domain-1", "host-1"}}};
    return static_cast<double>(encode(Entry).size());
  });
}

} // namespace corianderdyke
