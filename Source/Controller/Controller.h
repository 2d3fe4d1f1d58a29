#pragma once

#include "Controller/PoolManager.h"
#include "Controller/Publisher.h"
#include "Node/Node.h"
#include "Sardineford/Engine/HttpEngineClient.h"

#include <map>
#include <memory>
#include <string>

namespace sardineford::controller {

/// The controller process: competes for the leases of the engine pools and for
/// the publisher lease.
class Controller {
public:
  explicit Controller(node::Node &node);

  void start();

private:
  Awaitable<void> handle(http::Request &request, http::ResponseWriter &out);
  Awaitable<std::string> handleLoadReport(std::string body);
  Awaitable<std::string> handleRenounce(std::string body);
  void startPoolManagers();
  http::Response status() const;
  PoolManager *findPoolManager(const std::string &pool);

  node::Node &Node;
  engine::HttpEngineClient Engines;
  Publisher GenerationPublisher;
  std::map<std::string, std::unique_ptr<PoolManager>> PoolManagers;
};

} // namespace sardineford::controller
