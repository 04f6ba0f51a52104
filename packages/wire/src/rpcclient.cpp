/*
    The only file that is compiled as C++14.

    [SECTION] Client
*/
#include "rpcclient.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

namespace foxwing {
namespace wire {

// [SECTION] Client

struct RpcClient::Impl
{
    explicit Impl(const std::string &address)
        : connector("http://" + address)
        , client(connector, jsonrpc::JSONRPC_CLIENT_V2)
    { }

    jsonrpc::HttpClient connector;
    jsonrpc::Client client;
};

RpcClient::RpcClient(const std::string &address, long timeoutMilliseconds)
    : m_impl(new Impl(address))
{
    m_impl->connector.SetTimeout(timeoutMilliseconds);
}

RpcClient::~RpcClient() = default;

bool RpcClient::deliver(const Json::Value &envelope)
{
    try {
        const Json::Value accepted = m_impl->client.CallMethod("deliver", envelope);
        return accepted.isBool() && accepted.asBool();
    } catch (const jsonrpc::JsonRpcException &) {
        return false;
    }
}

} // namespace wire
} // namespace foxwing
