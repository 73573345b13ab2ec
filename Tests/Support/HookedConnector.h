/// \file
/// A connector that lets tests force the order of events.

#ifndef CORIANDERDYKE_TESTS_SUPPORT_HOOKEDCONNECTOR_H
#define CORIANDERDYKE_TESTS_SUPPORT_HOOKEDCONNECTOR_H

#include "Statements/Links.h"

#include <utility>

namespace corianderdyke {

/// Opens links to the targets of another connector, and runs a hook inside the
/// next opening, sending or closing of any link. Each hook runs once.
class HookedConnector final : public TargetConnector {
public:
  using Hook = std::function<void()>;

  explicit HookedConnector(TargetConnector &Targets) : Targets(Targets) {}

  std::unique_ptr<TargetLink> open(const TargetAddress &To,
                                   TargetLink::Events Events) override {
    auto Created =
        std::make_unique<Link>(*this, Targets.open(To, std::move(Events)));
    run(AtOpen);
    return Created;
  }

  Hook AtOpen;
  Hook AtSend;
  Hook AtClose;

private:
  class Link final : public TargetLink {
  public:
    Link(HookedConnector &Owner, std::unique_ptr<TargetLink> Actual)
        : Owner(Owner), Actual(std::move(Actual)) {}
    ~Link() override { run(Owner.AtClose); }

    void send(const std::vector<TargetCommand> &Commands) override {
      Actual->send(Commands);
      run(Owner.AtSend);
    }

  private:
    HookedConnector &Owner;
    std::unique_ptr<TargetLink> Actual;
  };

  static void run(Hook &Which) {
    if (const Hook Current = std::exchange(Which, nullptr))
      Current();
  }

  TargetConnector &Targets;
};

} // namespace corianderdyke

#endif
