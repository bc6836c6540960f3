"""Tests of oriolefold_routing.routes."""

from oriolefold_core import errors
from oriolefold_routing import routes
from oriolefold_testbed import basecase


class RouteTest(basecase.BaseCase):
    """Service and key of a request, and errors for bad requests."""

    def setUp(self):
        super().setUp()
        self.configuration = basecase.make_configuration(
            basecase.make_register()
        )

    def route(self, target, method='GET'):
        return routes.route(self.configuration, method, target, {})

    def test_key_is_read_from_the_segment(self):
        found = self.route('/svc/stock%20one/x?size=3')
        self.assertEqual(found.key, 'stock one')
        self.assertEqual(found.service.service_id, 'svc')

    def test_method_decides_on_idempotence(self):
        self.assertTrue(self.route('/svc/a').idempotent)
        self.assertFalse(self.route('/svc/a', 'POST').idempotent)

    def test_errors_name_the_faulty_part_of_the_request(self):
        cases = [
            ('/other/a', errors.UnknownServiceError, 'path segment 0'),
            ('/', errors.UnknownServiceError, 'path segment 0'),
            ('/svc', errors.MissingKeyError, 'path segment 1'),
            ('/svc/', errors.MissingKeyError, 'path segment 1'),
            ('/svc/' + 'k' * 1025, errors.RequestError, '1025 bytes'),
            ('/svc/' + 'k' * 9000, errors.RequestError, '8192'),
            ('svc/a', errors.RequestError, 'target'),
            ('/svc/a#b', errors.RequestError, 'target'),
            ('/svc/a b', errors.RequestError, 'target'),
            ('http://x/svc/a', errors.RequestError, 'target'),
        ]
        for target, error_class, text in cases:
            with self.subTest(target=target[:20]):
                with self.assertRaises(error_class) as caught:
                    self.route(target)
                self.assertIn(text, caught.exception.message)
