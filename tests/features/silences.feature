@nodes.3.raw
Feature: A server that falls silent and goes on loses no request

  # Guards against: a resumable stream whose server was silent for 1.2 s was given up before another
  # server was found for it, and was cut though its server went on.
  @nodes.3.raw
  Scenario: Servers that fall silent at each point of an answer lose nothing
    Given requests on each route whose first server is silent for 1.6 s at each point of the answer
    When 2 clients send these requests at once
    Then every answer is whole and complete

  # Guards against: streams may go on at one software version only, and no other server had it.
  @nodes.3.raw-versions
  Scenario: Servers each of a software version of its own lose nothing by falling silent
    Given requests on each route whose first server is silent for 1.6 s at each point of the answer
    When 2 clients send these requests at once
    Then every answer is whole and complete

  # Guards against: all servers that a request is sent to are silent, and it is given up though each
  # of them goes on.
  @nodes.3.raw
  Scenario: Servers that fall silent together lose nothing
    Given requests on each route each server of which is silent for 1.4 s at each point of the answer
    When 2 clients send these requests at once
    Then every answer is whole and complete

  # Guards against: a plain request that may be repeated had no first byte within three times its
  # route's objective, was given up while it was running, and nobody else would run it.
  @nodes.3.raw
  Scenario: Servers that fall silent for longer than a short objective lose no plain request
    Given requests with an objective of 200 ms each server of which is silent for 1.4 s
    When 2 clients send these requests at once
    Then every answer is whole and complete

  # Guards against: changes of each kind end requests whose servers are silent meanwhile.
  @nodes.3.raw-versions
  Scenario: Servers that fall silent beside changes and reloads lose nothing
    Given requests on each route whose first server is silent for 1.6 s at each point of the answer
    When 2 clients send these requests at once beside changes of each kind and reloads
    Then every answer is whole and complete

  # Guards against: a router that is stopped ends requests whose servers are silent.
  @nodes.3.raw
  Scenario: Servers that fall silent beside a planned stop lose nothing
    Given a request of each kind whose first server is silent for 1.4 s
    When clients send all of these requests at once and router 1 is stopped 0.7 s later
    Then every answer is whole and complete

  # Guards against: a stream waits for a server that is gone without a word until its deadline.
  @nodes.3.raw
  Scenario: A stream whose server stays silent goes on at another one
    Given resumable streams whose first server is silent for 30 s after 4 events
    When clients send these requests on each route one after another
    Then every answer is whole and complete

  # Guards against: two servers run one request, as the first one goes on while another begins.
  @nodes.3.raw
  Scenario: A server that goes on while another one is being asked keeps its stream
    Given resumable streams whose first server is silent for 1.2 to 1.6 s after 4 events
    When 3 clients send these requests at once
    Then every answer is whole and complete, or its deadline had passed

  # Guards against: a second search goes on though the first successor has answered, and takes its run
  # from it; what the client gets is an error, though two servers would have answered.
  @nodes.3.raw
  Scenario: A successor that answers while a further one is being sought keeps its request
    Given plain requests with 3 attempts each server of which is silent for 1 s and then slow
    When 1 clients send these requests at once
    Then every answer is whole and complete
