@nodes.1
Feature: Bytes of a server that are no answer are not passed on as one
  Real processes. Each odd part of an answer comes from the only server of a service.

  # Guards against: a name with a blank or a control byte ended the head for the router's parser, so that the
  # fields behind it, the framing of the body among them, vanished: the client got a body that was not the
  # server's, or an answer at the deadline only. Statuses, interim answers and trailers were read as leniently.
  Scenario Outline: An odd answer to a <kind> request is answered 502 at once
    Given servers that answer oddly
    When a <kind> request is sent for each of its <parts>
    Then each of them is answered 502, and the server has been asked for each

    Examples:
      | kind   | parts                     |
      | plain  | fields before the framing |
      | plain  | fields between others     |
      | plain  | fields behind the framing |
      | plain  | fields of chunked answers |
      | plain  | status lines              |
      | plain  | framings                  |
      | plain  | interim answers           |
      | plain  | trailers                  |
      | stream | fields before the framing |
      | stream | fields between others     |
      | stream | fields behind the framing |
      | stream | fields of chunked answers |
      | stream | status lines              |
      | stream | framings                  |
      | stream | interim answers           |

  # Guards against: the check of a long run of blanks took steps in the square of its length.
  Scenario: Answers with sound parts are passed on
    Given servers that answer oddly
    When a plain request is sent for each of its sound parts
    Then each of them is answered 200 with the server's body

  Scenario: What is read over urllib3's pools is read by the same grammar
    Given servers that answer oddly
    When each of its odd parts is read over a pool
    Then none of them is read as an answer

  Scenario: What is read from the store is read by the same grammar
    Given servers that answer oddly
    When each of its odd parts is read as an answer of the store
    Then none of them is read as an answer

  Scenario: The end of a stream with an odd trailer is no whole answer
    Given servers that answer oddly
    When a stream request is sent for each of its trailers
    Then none of them looks whole

  # Guards against: the operator's tool took the body of an odd answer for the published configuration or for a
  # status, or waited until its time limit.
  Scenario: What the operator's tool reads from the platform is read by the same grammar
    Given servers of which each answers with an odd part of its own
    When an operator plans from each of them
    Then each of them is reported as a platform without an answer

  Scenario: What the operator's tool reads from routers is read by the same grammar
    Given servers of which each answers with an odd part of its own
    When an operator asks all of them for their status
    Then all of them are reported as silent
