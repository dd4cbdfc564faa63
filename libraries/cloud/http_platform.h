#pragma once

#include "base/task_poster.h"
#include "cloud/cloud_service.h"
#include "cloud/object_store.h"
#include "cloud/table_service.h"
#include "cloud/weight_store.h"
#include "http/client.h"

#include <json/value.h>

#include <memory>

namespace ivypier::cloud {

/// HTTP client for the platform's services: `/table`, `/objects`, `/vms`, `/cloud` and `/weights` at one
/// address.
class http_platform final : public table_service,
                            public object_store,
                            public cloud_service,
                            public weight_store
{
public:
    http_platform(scheduler &tasks, std::shared_ptr<http::client> transport, endpoint address);

    void read(const std::string &key, read_completion done) override;
    void list(const std::string &prefix, list_completion done) override;
    void write(const std::string &key, std::uint64_t expected, const std::string &value,
               write_completion done) override;

    void get(const std::string &name, get_completion done) override;
    void put(const std::string &name, std::string content, put_completion done) override;

    void listVms(std::function<void(outcome<std::vector<vm_record>>)> done) override;
    void listPrices(std::function<void(outcome<std::vector<vm_price>>)> done) override;
    void startVm(const vm_order &order, std::function<void(outcome<vm_record>)> done) override;
    void releaseVm(const std::string &id, duration notice, std::function<void(outcome<void>)> done) override;
    void listNotices(const std::string &vm,
                     std::function<void(outcome<std::vector<reclaim_notice>>)> done) override;

    void requestDelivery(const std::string &name,
                         std::function<void(outcome<weight_delivery>)> done) override;

private:
    using reply = std::function<void(const outcome<http::response> &)>;

    void send(http::request message, http::repeatability callRepeatability, reply done);

    task_poster m_poster;
    std::shared_ptr<http::client> m_transport;
    endpoint m_address;
};

} // namespace ivypier::cloud
