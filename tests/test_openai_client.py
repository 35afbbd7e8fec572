"""Whole paths through the published client library, with its own retrying left on."""

import threading

import openai
import pytest
from gateway_site import GatewaySite


class Client(threading.Thread):
    """Runs `work(client)` beside the loop; `result` or `problem` tells how it ended."""

    def __init__(self, place, work, retries=2):
        super().__init__(daemon=True)
        self.place, self.work, self.result, self.problem, self.over = place, work, None, None, False
        self.client = openai.OpenAI(base_url=f"http://127.0.0.1:{place.port}/v1", api_key="demo", max_retries=retries, timeout=10)
        self.start()
        place.until(lambda: self.over, 20)

    def run(self):
        try:
            self.result = self.work(self.client)
        except Exception as problem:
            self.problem = problem
        finally:
            self.client.close()
            self.over = True


def ask(model="question", stream=False, **more):
    def work(client):
        got = client.chat.completions.create(
            model=model, stream=stream, messages=[{"role": "user", "content": [{"type": "text", "text": "soup?"}]}], **more
        )
        return "".join(e.choices[0].delta.content or "" for e in got if e.choices) if stream else got

    return work


def test_both_forms_say_the_same():
    with GatewaySite() as place:
        whole, streamed = Client(place, ask()).result, Client(place, ask(stream=True)).result
        assert whole.choices[0].message.content == streamed and whole.usage.completion_tokens == len(streamed.split())
        assert {m.id for m in Client(place, lambda c: list(c.models.list())).result} == {"question", "order", "pay"}


@pytest.mark.parametrize("stream", [False, True])
def test_an_aborted_req_is_not_tried_again(stream):
    with GatewaySite() as place:
        for i in (1, 2):
            place.box(i).faults.lost = 1.0
        problem = Client(place, ask("pay", stream)).problem
        assert isinstance(problem, openai.InternalServerError) and problem.status_code == 502
        assert place.core.counts["taken"] == 1 and len(place.rows("arrive", stage="write")) == 1


def test_an_abort_within_a_stream_is_an_error_and_not_tried_again():
    with GatewaySite(resume="false") as place:
        for i in (1, 2):
            place.box(i).faults.reset_at = 500
        problem = Client(place, ask("pay", True)).problem
        assert isinstance(problem, openai.APIError) and "broke off" in str(problem)
        assert place.core.counts["taken"] == 1


def test_a_pushed_back_req_comes_again_no_sooner_than_told():
    with GatewaySite(more="limits { max_come_back_ms: 900 }") as place:
        times, take = [], place.core.submit
        place.core.submit = lambda spec, listener: (times.append(place.loop.clock.now_us()), take(spec, listener))[1]
        for i in (1, 2):
            place.box(i).faults.draining = True

        def heal(*_):
            if len(times) == 1 and place.core.counts["pushed back"] == 1:
                place.core.counts["healed"] = 1
                for i in (1, 2):
                    place.box(i).faults.draining = False

        place.loop.after.append(heal)
        told = []
        push_back = place.core.push_back
        place.core.push_back = lambda rid, us: (told.append(us), push_back(rid, us))[1]
        result = Client(place, ask()).result
        assert result is not None and result.choices[0].finish_reason == "stop"
        assert len(times) >= 2 and told and all(b - a >= us for a, b, us in zip(times, times[1:], told))


def test_a_wrong_call_is_told_its_field():
    with GatewaySite() as place:
        problem = Client(place, ask(max_tokens=-3)).problem
        assert isinstance(problem, openai.BadRequestError) and problem.param == "max_tokens"
        assert isinstance(Client(place, ask("nope")).problem, openai.NotFoundError)


def test_a_keyed_retry_by_the_library_runs_once():
    """The first answer is lost on the way to the client, which tries again with the same key by itself."""
    with GatewaySite() as place:
        dropped = []

        def drop(*_):
            for conn in list(place.gateway.server.connections):
                if not dropped and conn.current is not None and place.rows("ran"):
                    dropped.append(conn)
                    conn.stream.abort()

        place.loop.after.append(drop)
        result = Client(place, ask("order", extra_headers={"Idempotency-Key": "k"})).result
        assert dropped and result is not None and len(place.rows("ran")) == 1
