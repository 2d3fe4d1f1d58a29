#pragma once

#include "Sardineford/Settings/Settings.h"

namespace sardineford::node {

using settings::Setting;

inline const Setting<std::string> Name{
    "node.name", "", "name of this process, unique in the deployment", true};
inline const Setting<std::string> FailureDomain{
    "node.failure_domain", "", "failure domain that the instance is in", true};
inline const Setting<int64_t> MemoryMb{
    "node.memory_mb",
    0,
    0,
    1 << 20,
    "MB",
    "memory of the instance; 0: not known, callers get no limit by it"};
inline const Setting<int64_t> MaxDescriptors{
    "node.max_descriptors",
    0,
    0,
    1 << 24,
    "",
    "descriptors of the instance; 0: not known, callers get no limit by them"};
inline const Setting<std::string> HttpListen{
    "node.http_listen", "127.0.0.1:8080",
    "address for callers, operators and health checks"};
inline const Setting<std::string> RpcListen{
    "node.rpc_listen", "127.0.0.1:8081",
    "address for the other processes of the system"};
inline const Setting<std::string> RpcAdvertise{
    "node.rpc_advertise", "",
    "address that other processes connect to, if it differs from the one "
    "listened on"};
inline const Setting<std::string> Platform{
    "platform.endpoint", "127.0.0.1:9100",
    "address of the platform's object API and instance list"};
inline const Setting<int64_t> PlatformTimeout{
    "platform.timeout_ms",
    1'000,
    10,
    60'000,
    "ms",
    "timeout of a request to the platform"};
inline const Setting<int64_t> InstanceListInterval{
    "platform.list_interval_ms",
    2'000,
    50,
    60'000,
    "ms",
    "time between reads of the instance list"};
inline const Setting<int64_t> WatchTimeout{
    "platform.watch_ms",           10'000, 100, 60'000, "ms",
    "timeout of one watch request"};
inline const Setting<int64_t> MaxWatchers{
    "platform.watchers",
    3,
    1,
    100,
    "",
    "maximum number of processes that watch the newest generation in the "
    "store"};
inline const Setting<int64_t> ExchangeInterval{
    "exchange.interval_ms",
    300,
    10,
    60'000,
    "ms",
    "time between exchanges with a peer"};
inline const Setting<int64_t> IsolationTimeout{
    "exchange.isolated_after_ms",
    5'000,
    100,
    600'000,
    "ms",
    "time without contact with the store or peers after which a process is "
    "not ready"};
inline const Setting<int64_t> LoadBalancerDelay{
    "shutdown.balancer_wait_ms",
    2'000,
    0,
    600'000,
    "ms",
    "time that a stopping process keeps accepting connections, for the load "
    "balancer to remove it"};
inline const Setting<int64_t> DrainLimit{
    "shutdown.drain_limit_ms",
    600'000,
    0,
    3'600'000,
    "ms",
    "maximum time that a stopping process waits for open requests"};
inline const Setting<std::string> LogLevel =
    Setting<std::string>{"log.level", "info",
                         "trace, debug, info, warning, error or off"}
        .reloadable();
inline const Setting<bool> LogJson{"log.json", false,
                                   "write log lines as JSON"};
inline const Setting<bool> LogToStdout{
    "log.stdout", false,
    "write to standard output without blocking; excess lines are dropped"};
inline const Setting<int64_t> LogBytesPerSecond =
    Setting<int64_t>{
        "log.bytes_per_s",
        262'144,
        1'024,
        1 << 30,
        "bytes/s",
        "rate limit of log.stdout; lines over it are dropped and counted"}
        .reloadable();
inline const Setting<std::string> HistoryFile{
    "history.file", "", "file that every event is appended to, for tests"};
inline const Setting<int64_t> EventRingCapacity{
    "events.ring", 4'096,    16,
    1'000'000,     "events", "number of newest events kept for the timeline"};

} // namespace sardineford::node
