/*
    libjsonrpccpp's client behind a plain header, because its own headers need C++14.

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

    // Calls "deliver". False if it failed; whether it was taken is unknown then.
    bool deliver(const Json::Value &envelope);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace wire
} // namespace foxwing
