"""End-to-end tests with the published client library, whose own retries stay enabled."""

import threading

import openai
import pytest
from gateway_site import GatewaySite


class Client(threading.Thread):
    """Runs `work(client)` in a thread while the loop runs, and keeps its `result` or `error`."""

    def __init__(self, site, work, retries=2):
        super().__init__(daemon=True)
        self.site, self.work, self.result, self.error, self.finished = site, work, None, None, False
        self.client = openai.OpenAI(base_url=f"http://127.0.0.1:{site.port}/v1", api_key="demo", max_retries=retries, timeout=10)
        self.start()
        site.until(lambda: self.finished, 20)

    def run(self):
        try:
            self.result = self.work(self.client)
        except Exception as error:
            self.error = error
        finally:
            self.client.close()
            self.finished = True


def ask(model="question", stream=False, **more):
    def work(client):
        got = client.chat.completions.create(
            model=model, stream=stream, messages=[{"role": "user", "content": [{"type": "text", "text": "soup?"}]}], **more
        )
        return "".join(event.choices[0].delta.content or "" for event in got if event.choices) if stream else got

    return work


def test_whole_and_streamed_answers_agree():
    with GatewaySite() as site:
        whole, streamed = Client(site, ask()).result, Client(site, ask(stream=True)).result
        assert whole.choices[0].message.content == streamed and whole.usage.completion_tokens == len(streamed.split())
        assert {model.id for model in Client(site, lambda client: list(client.models.list())).result} == {
            "question",
            "order",
            "pay",
        }


@pytest.mark.parametrize("stream", [False, True])
def test_failed_request_is_not_retried(stream):
    with GatewaySite() as site:
        for i in (1, 2):
            site.box(i).faults.lost = 1.0
        error = Client(site, ask("pay", stream)).error
        assert isinstance(error, openai.InternalServerError) and error.status_code == 502
        assert site.core.counts["taken"] == 1 and len(site.rows("arrive", stage="write")) == 1


def test_failure_within_a_stream_is_an_error_and_not_retried():
    with GatewaySite(resume="false") as site:
        for i in (1, 2):
            site.box(i).faults.reset_at = 500
        error = Client(site, ask("pay", True)).error
        assert isinstance(error, openai.APIError) and "broke off" in str(error)
        assert site.core.counts["taken"] == 1


def test_rejected_request_is_retried_no_sooner_than_allowed():
    with GatewaySite(more="limits { max_come_back_ms: 900 }") as site:
        submit_times, submit = [], site.core.submit
        site.core.submit = lambda spec, listener: (submit_times.append(site.loop.clock.now_us()), submit(spec, listener))[1]
        for i in (1, 2):
            site.box(i).faults.draining = True

        def end_drain(*_):
            if len(submit_times) == 1 and site.core.counts["pushed back"] == 1:
                site.core.counts["healed"] = 1
                for i in (1, 2):
                    site.box(i).faults.draining = False

        site.loop.after.append(end_drain)
        retry_after = []
        push_back = site.core.push_back
        site.core.push_back = lambda rid, us: (retry_after.append(us), push_back(rid, us))[1]
        result = Client(site, ask()).result
        assert result is not None and result.choices[0].finish_reason == "stop"
        assert (
            len(submit_times) >= 2
            and retry_after
            and all(b - a >= us for a, b, us in zip(submit_times, submit_times[1:], retry_after))
        )


def test_invalid_call_gets_the_name_of_the_field():
    with GatewaySite() as site:
        error = Client(site, ask(max_tokens=-3)).error
        assert isinstance(error, openai.BadRequestError) and error.param == "max_tokens"
        assert isinstance(Client(site, ask("nope")).error, openai.NotFoundError)


def test_a_keyed_retry_by_the_library_runs_once():
    """The first response is lost on the way to the client, whose library then retries with the same key."""
    with GatewaySite() as site:
        dropped = []

        def drop(*_):
            for conn in list(site.gateway.server.connections):
                if not dropped and conn.current is not None and site.rows("ran"):
                    dropped.append(conn)
                    conn.stream.abort()

        site.loop.after.append(drop)
        result = Client(site, ask("order", extra_headers={"Idempotency-Key": "k"})).result
        assert dropped and result is not None and len(site.rows("ran")) == 1
