/// \file
/// The commands that send requests to a running system.

#include "App/OperatorCommands.h"

#include "App/ExitCode.h"
#include "App/OperatorClient.h"
#include "App/ReadFile.h"
#include "Common/SystemClock.h"
#include "Manifest/ManifestFile.h"
#include "Operators/HumanReport.h"
#include "Operators/OperatorService.h"

#include <iostream>

namespace corianderdyke {

namespace {

constexpr Millis PollInterval(50);
constexpr int FirstErrorStatus = 300;

nlohmann::json parsed(const std::string &Body) {
  return nlohmann::json::parse(Body, nullptr, false);
}

int report(const Error &Problem, int Code) {
  std::cerr << Problem.Message << "\n";
  return Code;
}

std::string drainingText(const nlohmann::json &Report) {
  return "draining: " + Report.value("draining", "") + "\n";
}

Expected<std::vector<Endpoint>> endpoints(const std::vector<std::string> &All) {
  std::vector<Endpoint> Out;
  for (const std::string &Each : All) {
    auto Parsed = Endpoint::parse(Each);
    if (!Parsed)
      return tl::unexpected(Parsed.error());
    Out.push_back(*Parsed);
  }
  return Out;
}

Expected<std::string> operatorKey(const OperatorOptions &From) {
  if (From.KeyFile.empty())
    return From.Key;
  auto Text = readFile(From.KeyFile);
  if (Text)
    Text->erase(Text->find_last_not_of(" \r\n") + 1);
  return Text;
}

/// Sends a request with the operator's name and key.
Expected<HttpResponse> send(const OperatorOptions &Options,
                            HttpRequest Request) {
  const auto Hosts = endpoints(Options.Hosts);
  if (!Hosts)
    return tl::unexpected(Hosts.error());
  const auto Key = operatorKey(Options);
  if (!Key)
    return tl::unexpected(Key.error());
  Request.Headers[operator_header::Name] = Options.Operator;
  if (!Key->empty())
    Request.Headers[operator_header::Key] = *Key;
  return OperatorClient(*Hosts, Millis(Options.TimeoutMs)).send(Request);
}

int exitCodeOf(const Error &Problem) {
  return Problem.Code == ErrorCode::Unavailable ? Unreachable : InvalidFile;
}

HttpRequest post(const std::string &Path) {
  HttpRequest Out;
  Out.Method = HttpMethod::Post;
  Out.Path = Path;
  return Out;
}

} // namespace

int OperatorCommands::run(HttpRequest Request, Renderer Render) const {
  const auto Answer = send(Options, std::move(Request));
  if (!Answer)
    return report(Answer.error(), exitCodeOf(Answer.error()));
  const bool IsSuccess = Answer->Status < FirstErrorStatus;
  const nlohmann::json Body = parsed(Answer->Body);
  std::ostream &Out = IsSuccess ? std::cout : std::cerr;
  if (Options.Json || Body.is_discarded())
    Out << Answer->Body;
  else
    Out << (IsSuccess ? Render(Body) : errorText(Body));
  return IsSuccess ? Success : Refused;
}

int OperatorCommands::status() const {
  HttpRequest Request;
  Request.Path = "/v1/status";
  return run(std::move(Request), &statusText);
}

int OperatorCommands::audit(const std::string &Subject,
                            std::uint64_t Since) const {
  HttpRequest Request;
  Request.Path = "/v1/audit";
  Request.Query["since"] = std::to_string(Since);
  if (!Subject.empty())
    Request.Query["subject"] = Subject;
  return run(std::move(Request), &auditText);
}

int OperatorCommands::showManifest() const {
  HttpRequest Request;
  Request.Path = "/v1/manifest";
  return run(std::move(Request), &manifestText);
}

int OperatorCommands::manifestHistory() const {
  HttpRequest Request;
  Request.Path = "/v1/manifest/history";
  return run(std::move(Request), &manifestHistoryText);
}

int OperatorCommands::sendManifest(const std::string &Path,
                                   const std::string &File,
                                   Renderer Render) const {
  const auto Text = readFile(File);
  if (!Text)
    return report(Text.error(), InvalidFile);
  // Checked here first, so that errors are reported without a running system.
  if (const auto Parsed = parseManifest(File, *Text); !Parsed) {
    std::cerr << findingsText(Parsed.error());
    return InvalidFile;
  }
  HttpRequest Request = post(Path);
  Request.Headers[operator_header::ManifestFile] = File;
  Request.Body = *Text;
  return run(std::move(Request), Render);
}

int OperatorCommands::compareManifest(const std::string &File) const {
  return sendManifest("/v1/manifest/diff", File, &manifestDifferenceText);
}

int OperatorCommands::applyManifest(const std::string &File, bool Wait,
                                    Millis Timeout) const {
  const int Result = sendManifest("/v1/manifest", File, &manifestAcceptedText);
  return Result == Success && Wait ? waitUntilInForce(File, Timeout) : Result;
}

int OperatorCommands::waitUntilInForce(const std::string &File,
                                       Millis Timeout) const {
  const auto Text = readFile(File);
  const auto Sent = parseManifest(File, Text.value_or(""));
  const SystemClock Time;
  const Millis DeadlineAt = Time.now() + Timeout;
  HttpRequest Request;
  Request.Path = "/v1/manifest";
  EventLoop Loop;
  while (Sent && Time.now() < DeadlineAt) {
    const auto Answer = send(Options, Request);
    const nlohmann::json Body =
        Answer ? parsed(Answer->Body) : nlohmann::json::object();
    // A later manifest in force has replaced the one that was sent.
    if (Body.is_object() && Body.value("in_force", false) &&
        Body.value("version", std::uint64_t(0)) >= Sent->Version) {
      if (!Options.Json)
        std::cout << "in force: version "
                  << Body.value("version", std::uint64_t(0)) << "\n";
      return Success;
    }
    Loop.after(PollInterval, [&Loop] { Loop.stop(); });
    Loop.run();
  }
  std::cerr << "accepted, but not in force everywhere within "
            << Timeout.count() << " ms\n";
  return NotInForce;
}

int OperatorCommands::addControlHost(const std::string &Name) const {
  HttpRequest Request = post("/v1/control/add");
  Request.Query["name"] = Name;
  return run(std::move(Request), [](const nlohmann::json &Report) {
    return "added: " + Report.value("added", "") + "\n";
  });
}

int OperatorCommands::removeControlHost(const std::string &Name) const {
  HttpRequest Request = post("/v1/control/remove");
  Request.Query["name"] = Name;
  return run(std::move(Request), [](const nlohmann::json &Report) {
    return "removed: " + Report.value("removed", "") + "\n";
  });
}

int OperatorCommands::drainTarget(const std::string &Name) const {
  HttpRequest Request = post("/v1/targets/drain");
  Request.Query["name"] = Name;
  return run(std::move(Request), &drainingText);
}

int OperatorCommands::drainProxy(Millis Timeout) const {
  const int Result = run(post("/v1/drain"), [](const nlohmann::json &Report) {
    return "stopping, with " + std::to_string(Report.value("in_flight", 0)) +
           " in flight\n";
  });
  if (Result != Success)
    return Result;
  const SystemClock Time;
  const Millis DeadlineAt = Time.now() + Timeout;
  const auto Hosts = endpoints(Options.Hosts);
  OperatorClient Client(*Hosts, Millis(0));
  HttpRequest Request;
  Request.Path = "/healthz";
  while (Time.now() < DeadlineAt) {
    if (!Client.send(Request)) {
      std::cout << (Options.Json ? "" : "stopped\n");
      return Success;
    }
    Client.runLoopFor(PollInterval);
  }
  std::cerr << "still running after " << Timeout.count() << " ms\n";
  return Failure;
}

} // namespace corianderdyke
