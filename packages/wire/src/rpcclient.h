/*
    Hides libjsonrpccpp's client headers, which need C++14, from the rest of the package.

    [SECTION] Client
*/
#pragma once

#include <json/json.h>
#include <memory>
#include <string>

namespace foxwing {
namespace wire {

// [SECTION] Client

class RpcClient
{
public:
    RpcClient(const std::string &address, long timeoutMilliseconds);
    ~RpcClient();

    // Calls "deliver". False if the peer refused it or the call failed; after a failed call it may
    // have been delivered.
    bool deliver(const Json::Value &envelope);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace wire
} // namespace foxwing
