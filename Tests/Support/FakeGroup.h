/// \file
/// A group of targets in memory that enforce their leadership themselves, and
/// callers that record what they got.
///
/// Only what the product relies on is modelled: positions, terms, sessions'
/// values and prepared names, transactions, refusals, and answers that are
/// lost or cut off. Every run is written down, so that a test can say what a
/// caller's success stands for.

#ifndef CORIANDERDYKE_TESTS_SUPPORT_FAKEGROUP_H
#define CORIANDERDYKE_TESTS_SUPPORT_FAKEGROUP_H

#include "Directory/TargetDirectory.h"
#include "FakeLoop.h"
#include "Pipeline/SessionPipeline.h"

#include <random>

namespace corianderdyke {

/// One statement as a target ran it.
struct FakeExecution {
  std::string Id;
  std::string Target;
  std::string Text;         ///< With the shape in place of a prepared name.
  std::string Organisation; ///< As the target was told on opening.
  SessionValues Values;
  std::uint64_t Connection = 0;
  bool InTransaction = false;
  bool IsWrite = false;
  LogPosition At; ///< Where the target's log stood.
  Millis When;
};

class FakeGroup final : public TargetConnector {
public:
  struct Server {
    bool IsPrimary = false;
    bool IsUp = true;
    bool IsUnresponsive = false; ///< Takes everything and answers nothing.
    bool IsBusy = false;         ///< Refuses statements as busy.
    bool IsReplicating = true;   ///< Gets what its primary commits.
    std::size_t ConnectionsToMute = 0; ///< Runs so many more and tells nobody.
    std::size_t AnswersToDrop = 0;     ///< Leaves so many out and goes on.
    std::size_t BeginsToRefuse = 0;    ///< Opens so many transactions fewer.
    std::size_t AnswersToCut = 0;      ///< Closes in place of so many answers.
    std::size_t MaxConnections = 16;
    LogPosition Log{1, 1};
    std::size_t OpenConnections = 0;
    std::size_t ConnectionAttempts = 0; ///< That it took or refused.
    std::uint64_t BornAt = 1000;
  };

  FakeGroup(FakeLoop &Loop, std::vector<std::string> Names);

  std::unique_ptr<TargetLink> open(const TargetAddress &To,
                                   TargetLink::Events Events) override;

  /// The platform's part of a change of primary: from now on \p Name leads
  /// with what it has, and nobody else.
  void promote(const std::string &Name);
  /// What targets would say of themselves.
  TargetDirectory directory() const;
  /// The run of a caller's statement; null where it never ran.
  const FakeExecution *run(const std::string &Id) const;
  std::size_t runs(const std::string &Id) const;

  std::map<std::string, Server> Servers;
  std::vector<FakeExecution> Runs;
  /// Ids of writes that are in a log for good, with their position.
  std::map<std::string, LogPosition> Committed;
  Millis Latency = Millis(1);
  Millis ExecutionTime = Millis(3);

private:
  class Link;
  friend class Link;

  FakeLoop &Loop;
  std::uint64_t Changes = 1; ///< Of the primary.
  std::uint64_t NextConnection = 1;
  std::set<Link *> Links;
};

/// A caller with one session.
class FakeCaller final : public CallerLink {
public:
  void accept() override { IsOpen = true; }
  void reject(const StatementRefusal &Why) override { Rejected = Why; }
  void answer(const StatementAnswer &Answer) override {
    Answers.push_back(Answer);
  }
  void close() override { IsClosed = true; }

  const StatementAnswer &last() const { return Answers.back(); }

  bool IsOpen = false;
  bool IsClosed = false;
  std::optional<StatementRefusal> Rejected;
  std::vector<StatementAnswer> Answers;
};

/// One proxy's pipeline before a group, and callers to go with it.
class FakePipeline {
public:
  FakePipeline(FakeLoop &Loop, FakeGroup &Group);

  struct Session {
    std::uint64_t Id = 0;
    std::shared_ptr<FakeCaller> Caller;
  };

  Session connect(const std::string &Database, const std::string &Key = "");
  /// Sends a statement; its answer comes as time passes.
  void send(const Session &On, StatementKind Kind, const std::string &Id = "",
            const std::string &Text = "");
  /// Sends it and runs until it's answered; fails the test where it isn't.
  StatementAnswer ask(const Session &On, StatementKind Kind,
                      const std::string &Id = "", const std::string &Text = "");
  StatementAnswer ask(const Session &On, Statement What);
  /// Lets the pipeline know what targets say of themselves now.
  void updateDirectory();
  /// The same from somebody who still takes \p Primary for the primary.
  void updateDirectoryWithStalePrimary(const std::string &Primary);

  FakeLoop &Loop;
  FakeGroup &Group;
  FakeHost Host;
  FloorTable Floors;
  SessionPipeline Pipeline;
};

/// A plan with one route of each kind to one group: "primary", "bounded" and
/// "own".
RoutePlan planOfThreeRoutes(std::uint64_t Version = 1);

/// The same with organisations, each with one key: the name and "-key". Proxies
/// get it without the keys.
RoutePlan planOfOrganisations(std::uint64_t Version,
                              const std::vector<std::string> &Names);

} // namespace corianderdyke

#endif
