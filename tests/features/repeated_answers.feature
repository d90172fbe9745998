@nodes.1
Feature: An answer that comes twice answers no other attempt
  # Guards against: a request that its server had declined was sent again on the same connection; the first
  # answer, which came once more, was taken for the second, and its client was told that it had not run.
  Scenario: A declined request is sent again, and the first answer comes once more
    Given a server that declines each request once, and sends each answer once more before the next one
    When 10 requests that may not be repeated are sent to it
    Then none that was refused has been run
